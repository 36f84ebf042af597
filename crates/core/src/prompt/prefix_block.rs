//! One block of a prompt.

use serde::{Deserialize, Serialize};

use super::BlockHash;

/// One block of a prompt and the prefix that ends with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixBlock {
    /// Hash of the prefix that ends with this block.
    pub hash: BlockHash,
    /// Estimated tokens of the prefix that ends with this block.
    pub end_tokens: u32,
    /// Nesting level of the block, counted from 0: the number of message boundaries before it.
    pub level: u16,
}
