//! Release of a claim.

use serde::{Deserialize, Serialize};

use super::{ClaimId, KeyDigest};

/// Gives a key back: the claim's request certainly did not run and never will.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRelease {
    /// The claim.
    pub claim: ClaimId,
    /// The key.
    pub digest: KeyDigest,
}
