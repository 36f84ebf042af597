//! Ask for a claim.

use serde::{Deserialize, Serialize};

use crate::timestamp::Timestamp;

use super::{ClaimId, KeyDigest};

/// Asks a keeper for its vote on a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The claim.
    pub claim: ClaimId,
    /// The key.
    pub digest: KeyDigest,
    /// When the key was issued; `None` when its text does not say.
    pub issued_at: Option<Timestamp>,
    /// Epoch of the keeper group the asker knows.
    pub epoch: u64,
    /// A keeper ignores the ask after this time, so that a delayed copy claims nothing.
    pub valid_until: Timestamp,
}
