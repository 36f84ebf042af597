//! A prefix that placement considers.

use crate::prompt::{BlockHash, PrefixBlock};

/// A prefix that placement considers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementPoint {
    /// Hash of the prefix.
    pub hash: BlockHash,
    /// Estimated tokens of the prefix.
    pub end_tokens: u32,
}

impl From<&PrefixBlock> for PlacementPoint {
    fn from(block: &PrefixBlock) -> Self {
        Self {
            hash: block.hash,
            end_tokens: block.end_tokens,
        }
    }
}
