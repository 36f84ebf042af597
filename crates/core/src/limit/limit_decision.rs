//! Whether a request is within its tenant's limits.

use std::time::Duration;

/// Whether a request is within its tenant's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitDecision {
    /// The request is within the limits and was counted. Its stream must be returned with
    /// [`super::LimitClient::stream_ended`].
    Allowed,
    /// Permits have been requested; try again when a grant arrives or a few milliseconds later.
    Waiting,
    /// The limit is used up.
    Denied {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}
