//! Whether a request is within its tenant's limits.

use std::time::Duration;

/// Whether a request is within its tenant's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitDecision {
    /// It is, and was counted; a stream must be given back with
    /// [`super::LimitClient::stream_ended`].
    Allowed,
    /// Tickets have been asked for; try again when a grant arrives or a few milliseconds later.
    Waiting,
    /// The limit is spent.
    Denied {
        /// When the caller may come back.
        retry_after: Duration,
    },
}
