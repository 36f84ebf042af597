//! The prefix cache of an engine.

use std::collections::{BTreeSet, HashMap};

use ryerouter_core::prompt::{BlockHash, PrefixBlock};

use super::cached_block::CachedBlock;

/// Cached blocks by prefix hash. A shared prefix is held once, however many prompts begin with it.
///
/// Invariant: the parent of a cached block is cached, so a chain is cached from its start up to
/// some block. Only blocks that no sequence uses and no cached block follows may be evicted, least
/// recently used first.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    blocks: HashMap<BlockHash, CachedBlock>,
    evictable: BTreeSet<(u64, BlockHash)>,
    total_tokens: u32,
    clock: u64,
}

impl PrefixCache {
    /// Tokens of all cached blocks.
    pub fn total_tokens(&self) -> u32 {
        self.total_tokens
    }

    /// Number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Whether this prefix is cached.
    pub fn contains(&self, hash: BlockHash) -> bool {
        self.blocks.contains_key(&hash)
    }

    /// All cached prefixes, in no stated order.
    pub fn hashes(&self) -> impl Iterator<Item = BlockHash> {
        self.blocks.keys().copied()
    }

    /// How many of the chain's first blocks are cached.
    pub fn matching_blocks(&self, chain: &[PrefixBlock]) -> usize {
        chain
            .iter()
            .take_while(|block| self.contains(block.hash))
            .count()
    }

    /// Marks a cached block as used by one more sequence.
    pub fn pin(&mut self, hash: BlockHash) {
        self.clock += 1;
        let clock = self.clock;
        let block = self
            .blocks
            .get_mut(&hash)
            .expect("only cached blocks are pinned");
        if block.is_evictable() {
            self.evictable.remove(&(block.last_used, hash));
        }
        block.pins += 1;
        block.last_used = clock;
    }

    /// Marks a cached block as used by one sequence less.
    pub fn unpin(&mut self, hash: BlockHash) {
        self.clock += 1;
        let clock = self.clock;
        let block = self
            .blocks
            .get_mut(&hash)
            .expect("pinned blocks stay cached");
        block.pins -= 1;
        block.last_used = clock;
        if block.is_evictable() {
            self.evictable.insert((clock, hash));
        }
    }

    /// Stores a block, pinned once. Its parent must be cached and the block must not be.
    pub fn insert_pinned(&mut self, hash: BlockHash, parent: Option<BlockHash>, tokens: u32) {
        self.clock += 1;
        if let Some(parent) = parent {
            self.add_child(parent);
        }
        let block = CachedBlock {
            parent,
            tokens,
            pins: 1,
            children: 0,
            last_used: self.clock,
        };
        let previous = self.blocks.insert(hash, block);
        assert!(previous.is_none(), "a block is stored once");
        self.total_tokens += tokens;
    }

    /// Evicts the least recently used block that may go.
    pub fn evict_one(&mut self) -> Option<(BlockHash, u32)> {
        let (_, hash) = self.evictable.pop_first()?;
        let block = self
            .blocks
            .remove(&hash)
            .expect("evictable blocks are cached");
        self.total_tokens -= block.tokens;
        if let Some(parent) = block.parent {
            self.remove_child(parent);
        }
        Some((hash, block.tokens))
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn add_child(&mut self, parent: BlockHash) {
        let block = self.blocks.get_mut(&parent).expect("parents are cached");
        if block.is_evictable() {
            self.evictable.remove(&(block.last_used, parent));
        }
        block.children += 1;
    }

    fn remove_child(&mut self, parent: BlockHash) {
        let block = self.blocks.get_mut(&parent).expect("parents are cached");
        block.children -= 1;
        if block.is_evictable() {
            self.evictable.insert((block.last_used, parent));
        }
    }
}
