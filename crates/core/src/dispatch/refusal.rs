//! Refusal of a request.

use std::time::Duration;

use super::{RefusalReason, RunState};

/// The final answer to a request that gets no complete result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub run_state: RunState,
    /// Time after which the caller may retry; `None` if a retry cannot help or is not safe.
    pub retry_after: Option<Duration>,
}
