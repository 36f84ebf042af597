//! Decision whether a request may be sent to an engine.

use std::time::Duration;

/// Whether a request may be sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request runs like any other.
    Allowed,
    /// The request is blocked, but a trial run is due to find out whether it still crashes its engine.
    Trial,
    /// The request is blocked.
    Refused {
        /// Time until the next trial.
        retry_after: Duration,
    },
}
