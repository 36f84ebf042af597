//! One block of a prompt.

use serde::{Deserialize, Serialize};

use super::BlockHash;

/// One block of a prompt and the prefix that ends with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixBlock {
    /// Hash of the prefix that ends with this block.
    pub hash: BlockHash,
    /// Tokens of the prefix that ends with this block (estimate).
    pub end_tokens: u32,
    /// Nesting level (message boundaries passed) the block belongs to, from 0.
    pub level: u16,
}
