//! Copies of a keeper's memory.

use serde::{Deserialize, Serialize};

use crate::timestamp::Timestamp;

use super::{ClaimId, KeyDigest};

/// Asks a keeper for a part of what it remembers of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryAsk {
    /// Position of the group in the roster.
    pub group: usize,
    /// Epoch of the group.
    pub epoch: u64,
    /// Tells the answers to one copy from those to an earlier one.
    pub round: u64,
    /// Claims that may be forgotten from this second on are wanted.
    pub from_second: u32,
}

/// A part of what a keeper remembers of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryPage {
    /// The question.
    pub ask: MemoryAsk,
    /// The keeper remembers all that was granted in its name at or after this time.
    pub since: Timestamp,
    /// Claims in order of the second they may be forgotten.
    pub claims: Vec<RememberedClaim>,
    /// Where the next part begins; `None` after the last.
    pub next_second: Option<u32>,
}

/// A claim that a keeper remembers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RememberedClaim {
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
