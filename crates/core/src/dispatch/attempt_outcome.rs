//! Outcome of an attempt.

use super::NotRunReason;

/// Outcome of an attempt, derived from what was sent to the back end and what it answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete answer arrived.
    Completed,
    /// The attempt certainly did not run.
    NotRun(NotRunReason),
    /// The attempt ran and was interrupted after `chunks` chunks had reached the caller.
    Broken {
        /// Chunks delivered to the caller over all attempts of the request; the index of the next
        /// chunk.
        chunks: u64,
    },
    /// The attempt may have run; no part of its answer reached the caller.
    Unknown,
    /// The attempt was cancelled because the caller disconnected.
    Cancelled,
}
