//! Accounts of recomputed prompt tokens.

use std::collections::{HashMap, HashSet};

use ryerouter_core::prompt::BlockHash;

/// How a block last left the last engine that cached it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LastLoss {
    Evicted,
    Crashed,
}

/// Where prompt tokens went.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct ComputedTokens {
    /// Computed for the first time by any engine.
    pub first: u64,
    /// Computed again while a live engine had them cached.
    pub cached_elsewhere: u64,
    /// Computed again after the last engine that had them evicted them.
    pub evicted: u64,
    /// Computed again after the last engine that had them crashed.
    pub crashed: u64,
}

impl ComputedTokens {
    /// All tokens that had been computed before.
    pub fn wasted(&self) -> u64 {
        self.cached_elsewhere + self.evicted + self.crashed
    }
}

/// Follows every cached block of the cluster and sorts computed tokens by whether, and why, they
/// were computed again.
#[derive(Debug, Default)]
pub(super) struct WasteLedger {
    holders: HashMap<BlockHash, u32>,
    computed: HashSet<BlockHash>,
    last_loss: HashMap<BlockHash, LastLoss>,
    tokens: ComputedTokens,
}

impl WasteLedger {
    /// What was counted.
    pub fn tokens(&self) -> ComputedTokens {
        self.tokens
    }

    /// An engine computed a block; unless `counted`, it is followed but not added up.
    pub fn computed(&mut self, hash: BlockHash, tokens: u32, counted: bool) {
        let first = self.computed.insert(hash);
        if !counted {
            return;
        }
        let account = if first {
            &mut self.tokens.first
        } else if self.holders.contains_key(&hash) {
            &mut self.tokens.cached_elsewhere
        } else if self.last_loss.get(&hash) == Some(&LastLoss::Crashed) {
            &mut self.tokens.crashed
        } else {
            &mut self.tokens.evicted
        };
        *account += u64::from(tokens);
    }

    /// An engine cached a block.
    pub fn stored(&mut self, hash: BlockHash) {
        *self.holders.entry(hash).or_insert(0) += 1;
    }

    /// An engine evicted a block.
    pub fn evicted(&mut self, hash: BlockHash) {
        self.lose(hash, LastLoss::Evicted);
    }

    /// An engine crashed with a block in its cache.
    pub fn crashed(&mut self, hash: BlockHash) {
        self.lose(hash, LastLoss::Crashed);
    }

    fn lose(&mut self, hash: BlockHash, loss: LastLoss) {
        let Some(holders) = self.holders.get_mut(&hash) else {
            return;
        };
        *holders -= 1;
        if *holders == 0 {
            self.holders.remove(&hash);
            self.last_loss.insert(hash, loss);
        }
    }
}
