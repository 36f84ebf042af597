//! How an attempt ended.

use super::NotRunReason;

/// How an attempt ended, set by what was written to the back end and what it answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer arrived.
    Completed,
    /// It certainly did not run.
    NotRun(NotRunReason),
    /// It ran and broke off after `chunks` chunks had reached the caller.
    Broken {
        /// Chunks of the answer that reached the caller, over all attempts of the request: the
        /// index of the next chunk.
        chunks: u64,
    },
    /// It may have run; nothing of the answer reached the caller.
    Unknown,
    /// The caller left; the attempt was cancelled.
    Cancelled,
}
