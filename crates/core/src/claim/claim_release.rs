//! Release of a claim.

use serde::{Deserialize, Serialize};

use super::{ClaimId, KeyDigest};

/// Releases a claim on a key: the claim's request certainly did not run and never will.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRelease {
    /// The claim.
    pub claim: ClaimId,
    /// Digest of the key.
    pub digest: KeyDigest,
}
