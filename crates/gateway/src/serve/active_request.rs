//! Counts and logs requests in progress.

use std::cell::Cell;
use std::rc::Rc;

use ryerouter_core::Timestamp;
use slog::{info, warn};

use super::request_progress::RequestProgress;
use crate::gateway::Gateway;

/// Counts a request as active until dropped. If it is dropped before the request has ended, the caller has
/// disconnected, which is logged.
pub(super) struct ActiveRequest {
    gateway: Rc<Gateway>,
    id: String,
    arrived_at: Timestamp,
    is_ended: Cell<bool>,
    /// How far the request has come.
    pub(super) progress: Rc<RequestProgress>,
}

impl ActiveRequest {
    pub(super) fn begin(gateway: &Rc<Gateway>, id: &str, arrived_at: Timestamp) -> Self {
        gateway.state_mut().active_requests += 1;
        Self {
            gateway: Rc::clone(gateway),
            id: id.to_owned(),
            arrived_at,
            is_ended: Cell::new(false),
            progress: Rc::default(),
        }
    }

    /// Counts the outcome of the request, which has been answered or given up.
    pub(super) fn end(&self, outcome: &str) {
        self.is_ended.set(true);
        let requests = &self.gateway.metrics().requests;
        requests.with_label_values(&[outcome]).inc();
    }

    /// Like [`Self::end`], for a request that no engine answered successfully: also records how long it was held and in
    /// which phase it ended.
    pub(super) fn end_unserved(&self, outcome: &str) {
        self.end(outcome);
        let progress = &self.progress;
        let at = progress.phase().to_string();
        let held_ms = self.elapsed_ms();
        let seconds = held_ms as f64 / 1e3;
        let metric = &self.gateway.metrics().held_seconds;
        metric.with_label_values(&[&at]).observe(seconds);
        let now = self.gateway.clock().now();
        let Some(left_out) = self.gateway.unserved_sampler().admit(now) else {
            return;
        };
        warn!(self.gateway.log(), "request_unserved"; "request" => &self.id,
            "outcome" => outcome, "held_ms" => held_ms, "at" => at,
            "kind" => progress.kind.get(), "route" => progress.route.borrow().as_str(),
            "attempts_left" => progress.attempts_left.get(),
            "may_have_run" => progress.may_have_run(), "left_out" => left_out);
    }

    /// Milliseconds since the request's head arrived.
    pub(super) fn elapsed_ms(&self) -> u64 {
        let now = self.gateway.clock().now();
        now.since(self.arrived_at).as_millis() as u64
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.gateway.state_mut().active_requests -= 1;
        if !self.is_ended.get() {
            self.end_unserved("caller_left");
            info!(self.gateway.log(), "caller_left"; "request" => &self.id,
                "after_ms" => self.elapsed_ms());
        }
    }
}
