//! A granted claim.

use crate::timestamp::Timestamp;

use super::ClaimId;

/// Permission to run the request of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimGrant {
    /// The claim.
    pub claim: ClaimId,
    /// No attempt may start at or after this time. The process may have been paused, so it must
    /// check this again immediately before it sends the request.
    pub dispatch_before: Timestamp,
}
