//! One request in progress.

use std::sync::Arc;

use super::ActivityGate;

/// One request in progress; ends when dropped.
#[derive(Debug)]
pub struct ActiveRequest {
    /// Where it is counted.
    pub(super) gate: Arc<ActivityGate>,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.gate.leave();
    }
}
