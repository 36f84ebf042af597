//! A claim in a page of records.

use serde::{Deserialize, Serialize};

use super::{ClaimId, KeyDigest};

/// A claim stored by a keeper, as sent in a page of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Digest of the key.
    #[serde(rename = "k")]
    pub digest: KeyDigest,
    /// The claim that holds the key.
    #[serde(rename = "c")]
    pub claim: ClaimId,
    /// Second after which the claim expires.
    #[serde(rename = "t")]
    pub forget_after_second: u32,
}
