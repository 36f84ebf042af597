//! Outcome of a claim.

use std::time::Duration;

use super::ClaimGrant;

/// Outcome of a claim. Whatever it is, at most one claim on a key is ever granted and not released
/// within the claim lifetime.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The request may run.
    Granted(ClaimGrant),
    /// Another submission of the key ran, runs or may run.
    AlreadyClaimed,
    /// The key is older than claims are remembered; it is never granted.
    KeyExpired,
    /// No majority of keepers could vouch for the key. This submission does not run.
    Unavailable {
        /// When a new submission may be granted.
        retry_after: Duration,
    },
}
