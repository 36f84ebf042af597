//! A block in the prefix cache.

use ryerouter_core::prompt::BlockHash;

/// A block in the prefix cache.
#[derive(Debug, Clone, Copy)]
pub(super) struct CachedBlock {
    /// The block before it.
    pub parent: Option<BlockHash>,
    /// Tokens of the block itself.
    pub tokens: u32,
    /// Sequences that use it now.
    pub pins: u32,
    /// Cached blocks that follow it.
    pub children: u32,
    /// Rises with each use; the least recently used goes first.
    pub last_used: u64,
}

impl CachedBlock {
    /// Whether it may go: nothing uses it and nothing cached depends on it.
    pub fn is_evictable(&self) -> bool {
        self.pins == 0 && self.children == 0
    }
}
