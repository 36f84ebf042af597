//! Consistent hash of the prompt.

use ryerouter_core::Timestamp;
use ryerouter_core::prompt::PrefixChain;

use super::engine_choice::{ChoiceRequest, EngineChoice};
use super::hash_ring::HashRing;
use super::simulated_engine::SimulatedEngine;

/// Sends all prompts that differ only in their last message to one engine: the best key there is
/// for a plain hash, since it names the item.
#[derive(Debug)]
pub(super) struct ConsistentHash {
    ring: HashRing,
}

impl ConsistentHash {
    /// Hashes over this many engines.
    pub fn new(engines: usize) -> Self {
        Self {
            ring: HashRing::new(engines),
        }
    }
}

impl EngineChoice for ConsistentHash {
    fn choose(
        &mut self,
        request: ChoiceRequest<'_>,
        candidates: &[usize],
        _now: Timestamp,
        _engines: &[SimulatedEngine],
    ) -> usize {
        let key = item_key(&request.profile.prefix);
        self.ring.find(key, candidates).unwrap_or(candidates[0])
    }
}

/// Hash of the prompt without its last message; of the whole prompt when it has only one.
fn item_key(prefix: &PrefixChain) -> u64 {
    let ends: Vec<u64> = prefix.level_ends().map(|block| block.hash.0).collect();
    match ends.as_slice() {
        [] => 0,
        [only] => *only,
        [.., item, _question] => *item,
    }
}
