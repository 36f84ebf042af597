//! Vote of a keeper.

use serde::{Deserialize, Serialize};

use super::{ClaimId, ClaimVerdict, KeyDigest};

/// A keeper's answer to a [`super::VoteRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimVote {
    /// The claim.
    pub claim: ClaimId,
    /// Digest of the key.
    pub digest: KeyDigest,
    /// The keeper's verdict.
    pub verdict: ClaimVerdict,
}
