//! Answer to a request for a permit.

use std::time::Duration;

/// Answer to a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The permit is issued.
    Granted,
    /// The permit is issued as soon as another one is returned.
    Queued,
    /// No permit can be issued in time.
    Denied {
        /// Estimated time until one could be.
        wait: Duration,
    },
}
