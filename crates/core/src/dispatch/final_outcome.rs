//! Final outcome of a request.

use super::Refusal;

/// Final outcome of a request; each request has exactly one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The complete answer reached the caller.
    Completed,
    /// The request was refused, or its answer was interrupted and could not be continued.
    Refused(Refusal),
    /// The caller disconnected.
    Cancelled,
}
