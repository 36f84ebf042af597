//! A claim that a keeper remembers.

use serde::{Deserialize, Serialize};

use super::{ClaimId, KeyDigest};

/// A claim that a keeper remembers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The key.
    #[serde(rename = "k")]
    pub digest: KeyDigest,
    /// The claim.
    #[serde(rename = "c")]
    pub claim: ClaimId,
    /// The second after which it may be forgotten.
    #[serde(rename = "t")]
    pub forget_after_second: u32,
}
