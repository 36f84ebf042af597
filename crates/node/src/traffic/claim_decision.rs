//! Answer to a claim.

use std::time::Duration;

use ryerouter_core::Timestamp;

/// Whether a request that must run at most once may run here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDecision {
    /// This process alone may run it.
    Granted {
        /// No attempt may start at or after this time.
        dispatch_before: Timestamp,
    },
    /// The key was claimed before.
    AlreadyClaimed,
    /// Too few keepers answered, so it is not known whether the key was claimed.
    Unavailable {
        /// When a new submission may be granted.
        retry_after: Duration,
    },
}
