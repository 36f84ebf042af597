//! Whether a request may be sent to an engine.

use std::time::Duration;

/// Whether a request may be sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// As any other.
    Allowed,
    /// It is held back, but it is time to see whether it still ends its engine.
    Trial,
    /// It is held back.
    Refused {
        /// Until the next trial.
        retry_after: Duration,
    },
}
