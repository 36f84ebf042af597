//! A granted claim.

use crate::timestamp::Timestamp;

use super::ClaimId;

/// Leave to run the request of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimGrant {
    /// The claim.
    pub claim: ClaimId,
    /// No attempt may start at or after this time: a process that was paused must check it again
    /// right before it sends the request.
    pub dispatch_before: Timestamp,
}
