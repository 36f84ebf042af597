//! Outcome of a claim.

use std::time::Duration;

use super::ClaimGrant;

/// Outcome of a claim. Within the claim lifetime, at most one claim on a key is granted and not
/// released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The request may run.
    Granted(ClaimGrant),
    /// Another request with the same key ran, runs or may run.
    AlreadyClaimed,
    /// The key is older than the claim lifetime, so it is never granted.
    KeyExpired,
    /// No majority of keepers granted the claim. The request does not run.
    Unavailable {
        /// Time after which a new claim may be granted.
        retry_after: Duration,
    },
}
