//! Answer to a claim.

/// Whether a request that must run at most once may run here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDecision {
    /// This process alone may run it.
    Granted,
    /// The key was claimed before.
    AlreadyClaimed,
    /// Too few keepers answered, so it is not known whether the key was claimed.
    Unavailable,
}
