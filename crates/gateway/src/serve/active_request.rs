//! A request in progress, for logs and counts.

use std::cell::Cell;
use std::rc::Rc;

use ryerouter_core::Timestamp;
use slog::info;

use crate::gateway::Gateway;

/// Counts a request while it lasts, and logs that its caller left when nothing else ended it.
pub(super) struct ActiveRequest {
    gateway: Rc<Gateway>,
    id: String,
    arrived_at: Timestamp,
    is_ended: Cell<bool>,
}

impl ActiveRequest {
    pub(super) fn begin(gateway: &Rc<Gateway>, id: &str, arrived_at: Timestamp) -> Self {
        gateway.state_mut().active_requests += 1;
        Self {
            gateway: Rc::clone(gateway),
            id: id.to_owned(),
            arrived_at,
            is_ended: Cell::new(false),
        }
    }

    /// The request got its final answer.
    pub(super) fn end(&self, outcome: &str) {
        self.is_ended.set(true);
        let requests = &self.gateway.metrics().requests;
        requests.with_label_values(&[outcome]).inc();
    }

    /// Milliseconds since its head arrived.
    pub(super) fn elapsed_ms(&self) -> u64 {
        let now = self.gateway.clock().now();
        now.since(self.arrived_at).as_millis() as u64
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.gateway.state_mut().active_requests -= 1;
        if !self.is_ended.get() {
            self.end("caller_left");
            info!(self.gateway.log(), "caller_left"; "request" => &self.id,
                "after_ms" => self.elapsed_ms());
        }
    }
}
