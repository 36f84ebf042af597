//! Counts requests in progress and refuses new ones once the process stops.

use std::sync::Arc;

use super::{ActiveRequest, GateClosed};
use parking_lot::Mutex;
use tokio::sync::Notify;

/// Counts requests in progress; closed for good by a planned stop.
#[derive(Debug)]
pub struct ActivityGate {
    state: Mutex<GateState>,
    idle: Notify,
    limit: usize,
}

#[derive(Debug, Default)]
struct GateState {
    active: usize,
    stopping: bool,
}

impl ActivityGate {
    /// An open gate that lets `limit` requests in at once.
    pub fn new(limit: usize) -> Self {
        Self {
            state: Mutex::default(),
            idle: Notify::new(),
            limit,
        }
    }

    /// Lets a request in, unless the process is stopping or full.
    pub fn enter(self: &Arc<Self>) -> Result<ActiveRequest, GateClosed> {
        let mut state = self.state.lock();
        if state.stopping {
            return Err(GateClosed::Stopping);
        }
        if state.active >= self.limit {
            return Err(GateClosed::Full);
        }
        state.active += 1;
        Ok(ActiveRequest { gate: self.clone() })
    }

    /// Lets no further request in.
    pub fn begin_stop(&self) {
        let mut state = self.state.lock();
        state.stopping = true;
        if state.active == 0 {
            self.idle.notify_waiters();
        }
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.state.lock().stopping
    }

    /// Requests in progress.
    pub fn active(&self) -> usize {
        self.state.lock().active
    }

    /// Waits until a stop has begun and the last request has ended.
    pub async fn wait_stopped(&self) {
        loop {
            let notified = self.idle.notified();
            tokio::pin!(notified);
            // Registered before the check, so a notification in between is not lost.
            notified.as_mut().enable();
            if self.is_stopped() {
                return;
            }
            notified.await;
        }
    }

    /// Counts a request that has ended.
    pub(super) fn leave(&self) {
        let mut state = self.state.lock();
        state.active -= 1;
        if state.stopping && state.active == 0 {
            self.idle.notify_waiters();
        }
    }

    fn is_stopped(&self) -> bool {
        let state = self.state.lock();
        state.stopping && state.active == 0
    }
}
