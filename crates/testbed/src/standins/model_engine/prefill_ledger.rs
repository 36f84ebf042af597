//! Counts of prompt tokens over all engines.

use std::collections::{HashMap, HashSet};

use parking_lot::Mutex;
use ryerouter_core::prompt::BlockHash;

/// Blocks remembered; beyond it the ledger starts anew and counts too little rather than too much.
const MAX_BLOCKS: usize = 4_000_000;

/// Counts prompt tokens over all engines, and notices prefixes that are shared when they must not be.
#[derive(Debug, Default)]
pub struct PrefillLedger {
    state: Mutex<LedgerState>,
}

/// Counts so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrefillTotals {
    /// Prompt tokens of finished answers.
    pub prompt_tokens: u64,
    /// Those that came from a cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed.
    pub computed_tokens: u64,
    /// Those of blocks that some engine had computed before.
    pub recomputed_tokens: u64,
    /// Prefixes used by another tenant, model or weights version than the one that made them.
    pub crossed_prefixes: u64,
    /// Continuations whose text was not what the engine would have said.
    pub wrong_continuations: u64,
}

#[derive(Debug, Default)]
struct LedgerState {
    totals: PrefillTotals,
    computed: HashSet<BlockHash>,
    owners: HashMap<BlockHash, PrefixOwner>,
}

/// Whose a prefix is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefixOwner {
    /// The tenant.
    pub tenant: String,
    /// The model.
    pub model: String,
    /// The weights.
    pub weights_version: u64,
}

impl PrefillLedger {
    /// Counts so far.
    pub fn totals(&self) -> PrefillTotals {
        self.state.lock().totals
    }

    /// A block was computed.
    pub fn computed(&self, hash: BlockHash, tokens: u32) {
        let mut state = self.state.lock();
        state.totals.computed_tokens += u64::from(tokens);
        if state.computed.len() >= MAX_BLOCKS {
            state.computed.clear();
        }
        if !state.computed.insert(hash) {
            state.totals.recomputed_tokens += u64::from(tokens);
        }
    }

    /// An answer is whole.
    pub fn finished(&self, prompt_tokens: u32, cached_tokens: u32) {
        let mut state = self.state.lock();
        state.totals.prompt_tokens += u64::from(prompt_tokens);
        state.totals.cached_tokens += u64::from(cached_tokens);
    }

    /// A continuation had another text than the engine would have said.
    pub fn wrong_continuation(&self) {
        self.state.lock().totals.wrong_continuations += 1;
    }

    /// Prefixes are used by `owner`.
    pub fn used(&self, hashes: impl Iterator<Item = BlockHash>, owner: &PrefixOwner) {
        let mut state = self.state.lock();
        for hash in hashes {
            if state.owners.len() >= MAX_BLOCKS {
                state.owners.clear();
            }
            let known = state.owners.entry(hash).or_insert_with(|| owner.clone());
            if known != owner {
                state.totals.crossed_prefixes += 1;
            }
        }
    }
}
