//! A refusal.

use std::time::Duration;

use super::{RefusalReason, RunState};

/// The final answer to a request that gets no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether it may have run.
    pub run_state: RunState,
    /// When the caller may come back, where that helps.
    pub retry_after: Option<Duration>,
}
