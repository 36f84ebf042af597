//! Engines that mostly read and engines that mostly generate.

use std::collections::BTreeMap;

use ryerouter_core::identity::{PoolName, ZoneName};

use super::{PlacementPrices, Prompt};
use crate::engines::{Engine, EngineTable};

/// Below this share of the engines' time reading is so rare that keeping engines for it costs more
/// than it saves.
const MIN_PREFILL_SHARE: f64 = 0.02;
/// Engines that mostly read are to be so many that reading keeps them busy for at most this share of
/// their time: more would make prompts queue there.
const MAX_PREFILL_UTILIZATION: f64 = 0.5;
/// The other engines are to be so many that requests hold at most this share of their slots.
const MAX_SLOT_UTILIZATION: f64 = 0.8;
/// Engines are divided while the two need at most this share of them together. With less to spare
/// one side or the other would have queues, which cost more than pauses do.
const MAX_NEEDED_SHARE: f64 = 0.9;
/// The same once they are divided, so that small changes do not end it.
const MAX_NEEDED_SHARE_WHILE_SPLIT: f64 = 1.05;

/// How the engines of a pool are divided between requests that mostly read and those that mostly
/// generate.
///
/// An engine reads a prompt in large pieces between two tokens of the streams that it runs, so a few
/// long prompts on end make all of its streams pause. What nodes know of each other's choices is
/// older than a prompt takes to be read, so they can't keep long prompts apart in time; they keep
/// them apart from streams by place. All nodes divide alike, by a hash of the engines' names; the
/// share follows what all of them see. See docs/design/shifted.md.
#[derive(Debug, PartialEq, Eq)]
pub struct PrefillSplit {
    /// In each zone the engines up to this hash mostly read.
    last_prefill_hash: BTreeMap<ZoneName, u64>,
}

impl PrefillSplit {
    /// Divides the engines of a pool that is asked to read so many tokens a second; `None` when
    /// nothing is to be gained. `was_split` tells whether they are divided so far.
    pub fn new(
        engines: &EngineTable,
        pool: &PoolName,
        tokens_per_second: f64,
        prices: &PlacementPrices,
        was_split: bool,
    ) -> Option<Self> {
        let of_pool = engines.of_pool(pool);
        Self::from_engines(of_pool, tokens_per_second, prices, was_split)
    }

    /// The same for some engines of a pool, to which its requests go.
    pub fn from_engines<'a>(
        engines: impl Iterator<Item = &'a Engine>,
        tokens_per_second: f64,
        prices: &PlacementPrices,
        was_split: bool,
    ) -> Option<Self> {
        let engines: Vec<&Engine> = engines.collect();
        let slots: u32 = engines.iter().map(|engine| engine.entry.slots).sum();
        let requests: u32 = engines.iter().map(|engine| engine.load().requests).sum();
        let capacity = engines.len() as f64 * prices.prefill_tokens_per_ms * 1e3;
        let busy = tokens_per_second / capacity.max(1.0);
        let occupied = f64::from(requests) / f64::from(slots.max(1));
        let prefill_share = busy / MAX_PREFILL_UTILIZATION;
        let needed = prefill_share + occupied / MAX_SLOT_UTILIZATION;
        let max_needed = match was_split {
            true => MAX_NEEDED_SHARE_WHILE_SPLIT,
            false => MAX_NEEDED_SHARE,
        };
        if busy < MIN_PREFILL_SHARE || needed > max_needed {
            return None;
        }
        let mut hashes: BTreeMap<&ZoneName, Vec<u64>> = BTreeMap::new();
        for engine in engines {
            let of_zone = hashes.entry(&engine.entry.zone).or_default();
            of_zone.push(engine.name_hash);
        }
        // What is to spare goes to both sides alike.
        let share = prefill_share / needed;
        let last_prefill_hash = hashes
            .into_iter()
            .filter_map(|(zone, hashes)| Some((zone.clone(), last_prefill_hash(hashes, share)?)))
            .collect();
        Some(Self { last_prefill_hash })
    }

    /// How many engines are kept for requests that mostly read.
    pub fn count(&self, engines: &EngineTable) -> usize {
        engines
            .iter()
            .filter(|engine| self.prefills(engine))
            .count()
    }

    /// Whether an engine is kept for requests that mostly read.
    pub fn prefills(&self, engine: &Engine) -> bool {
        let last = self.last_prefill_hash.get(&engine.entry.zone);
        last.is_some_and(|last| engine.name_hash <= *last)
    }
}

/// The last of a zone's engines that mostly read: at least one does and one does not, where there
/// are two.
fn last_prefill_hash(mut hashes: Vec<u64>, share: f64) -> Option<u64> {
    hashes.sort_unstable();
    let most = hashes.len().checked_sub(1).filter(|most| *most > 0)?;
    let wanted = (share * hashes.len() as f64).round() as usize;
    Some(hashes[wanted.clamp(1, most) - 1])
}

/// Whether an engine spends more time on reading a prompt than on the answer.
pub fn is_prefill_heavy(prompt: &Prompt, prices: &PlacementPrices) -> bool {
    let tokens = prompt.expected_tokens.unwrap_or(prompt.output_tokens);
    let prefill_ms = f64::from(prompt.prompt_tokens) / prices.prefill_tokens_per_ms;
    let decode_ms = f64::from(tokens) * prices.decode_token_ms;
    prefill_ms > decode_ms
}
