//! Request for a vote on a claim.

use serde::{Deserialize, Serialize};

use crate::timestamp::Timestamp;

use super::{ClaimId, KeyDigest};

/// Requests a keeper's vote on a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The claim.
    pub claim: ClaimId,
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Issue time of the key; `None` for an opaque key.
    pub issued_at: Option<Timestamp>,
    /// Epoch of the keeper group, as known to the claiming process.
    pub epoch: u64,
    /// A keeper ignores the request from this time on, so that a delayed message claims nothing.
    pub valid_until: Timestamp,
}
