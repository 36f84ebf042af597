//! Splits a pool into engines for prefill-heavy and engines for decode-heavy requests.

use std::collections::BTreeMap;

use ryerouter_core::identity::{PoolName, ZoneName};

use super::{PlacementPrices, Prompt};
use crate::engines::{Engine, EngineTable};

/// Minimum share of the engines' time that prefill-heavy requests need. Below it, reserving engines
/// for them costs more than it saves.
const MIN_PREFILL_SHARE: f64 = 0.02;
/// Enough engines are reserved for prefill-heavy requests that prefill takes at most this share of
/// their time. At a higher utilization prompts would queue there.
const MAX_PREFILL_UTILIZATION: f64 = 0.5;
/// Enough other engines are left that requests occupy at most this share of their slots.
const MAX_SLOT_UTILIZATION: f64 = 0.8;
/// A pool is split only if both sides together need at most this share of its engines. With less
/// spare capacity one side would have queues, which cost more than pauses in streams.
const MAX_NEEDED_SHARE: f64 = 0.9;
/// Limit for a pool that is already split. It is higher than [`MAX_NEEDED_SHARE`], so that small
/// changes in load don't end the split.
const MAX_NEEDED_SHARE_WHILE_SPLIT: f64 = 1.05;

/// How the engines of a pool are split between prefill-heavy and decode-heavy requests.
///
/// An engine prefills a prompt in large chunks between decode steps, so a few long prompts in a row
/// make all of its streams pause. Nodes can't spread long prompts over time, because a prefill has
/// ended before the report of it reaches the other nodes. Instead, prefill-heavy requests are sent
/// to other engines than decode-heavy ones. All nodes compute the same split from hashes of the
/// engines' names and the demand that all nodes report. See docs/design/shifted.md.
#[derive(Debug, PartialEq, Eq)]
pub struct PrefillSplit {
    /// In each zone, engines whose name hash is at most this value are reserved for prefill-heavy
    /// requests.
    max_prefill_hash: BTreeMap<ZoneName, u64>,
}

impl PrefillSplit {
    /// Splits a pool that receives `tokens_per_second` prompt tokens in prefill-heavy requests.
    /// Returns `None` if a split gains nothing. `was_split` says whether the pool was split before.
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

    /// Like [`Self::new`], but for a subset of a pool's engines that its requests go to.
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
        // Spare capacity is given to both sides in proportion to their needs.
        let share = prefill_share / needed;
        let max_prefill_hash = hashes
            .into_iter()
            .filter_map(|(zone, hashes)| Some((zone.clone(), max_prefill_hash(hashes, share)?)))
            .collect();
        Some(Self { max_prefill_hash })
    }

    /// Number of engines reserved for prefill-heavy requests.
    pub fn count(&self, engines: &EngineTable) -> usize {
        engines
            .iter()
            .filter(|engine| self.prefills(engine))
            .count()
    }

    /// Whether the engine is reserved for prefill-heavy requests.
    pub fn prefills(&self, engine: &Engine) -> bool {
        let max = self.max_prefill_hash.get(&engine.entry.zone);
        max.is_some_and(|max| engine.name_hash <= *max)
    }
}

/// The highest hash of a reserved engine in a zone. With at least two engines in the zone, each
/// side gets at least one; with fewer, none is reserved.
fn max_prefill_hash(mut hashes: Vec<u64>, share: f64) -> Option<u64> {
    hashes.sort_unstable();
    let max = hashes.len().checked_sub(1).filter(|max| *max > 0)?;
    let wanted = (share * hashes.len() as f64).round() as usize;
    Some(hashes[wanted.clamp(1, max) - 1])
}

/// Whether prefilling the prompt takes an engine longer than decoding the answer.
pub fn is_prefill_heavy(prompt: &Prompt, prices: &PlacementPrices) -> bool {
    let tokens = prompt.expected_tokens.unwrap_or(prompt.output_tokens);
    let prefill_ms = f64::from(prompt.prompt_tokens) / prices.prefill_tokens_per_ms;
    let decode_ms = f64::from(tokens) * prices.decode_token_ms;
    prefill_ms > decode_ms
}
