//! Vote of a keeper.

use serde::{Deserialize, Serialize};

use super::{ClaimId, ClaimVerdict, KeyDigest};

/// A keeper's answer to a [`super::VoteRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimVote {
    /// The claim.
    pub claim: ClaimId,
    /// The key.
    pub digest: KeyDigest,
    /// What the keeper says.
    pub verdict: ClaimVerdict,
}
