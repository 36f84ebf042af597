//! Engines that mostly read and engines that mostly generate.

use std::collections::BTreeMap;

use ryerouter_core::identity::{PoolName, ZoneName};

use super::{PlacementPrices, Prompt};
use crate::engines::{Engine, EngineTable};

/// Below this share of the engines' time reading is so rare that keeping engines for it costs more
/// than it saves.
const LEAST_BUSY_SHARE: f64 = 0.02;
/// Engines that mostly read are to be so many that reading keeps them busy for at most this share of
/// their time: more would make prompts queue there.
const BUSY_SHARE: f64 = 0.5;
/// The other engines are to be so many that requests hold at most this share of their slots.
const OCCUPIED_SHARE: f64 = 0.8;
/// Engines are divided while the two need at most this share of them together. With less to spare
/// one side or the other would have queues, which cost more than pauses do.
const MOST_NEEDED: f64 = 0.9;
/// The same once they are divided, so that small changes do not end it.
const MOST_NEEDED_WHILE_DIVIDED: f64 = 1.05;

/// How the engines of a pool are divided between requests that mostly read and those that mostly
/// generate.
///
/// An engine reads a prompt in large pieces between two tokens of the streams that it runs, so a few
/// long prompts on end make all of its streams pause. What nodes know of each other's choices is
/// older than a prompt takes to be read, so they can't keep long prompts apart in time; they keep
/// them apart from streams by place. All nodes divide alike, by a hash of the engines' names; the
/// share follows what all of them see. See docs/design/shifted.md.
#[derive(Debug, PartialEq, Eq)]
pub struct Division {
    /// In each zone the engines up to this hash mostly read.
    last_reading: BTreeMap<ZoneName, u64>,
}

impl Division {
    /// Divides the engines of a pool that is asked to read so many tokens a second; `None` when
    /// nothing is to be gained. `was_divided` tells whether they are divided so far.
    pub fn new(
        engines: &EngineTable,
        pool: &PoolName,
        tokens_per_second: f64,
        prices: &PlacementPrices,
        was_divided: bool,
    ) -> Option<Self> {
        let of_pool = engines.of_pool(pool);
        Self::among(of_pool, tokens_per_second, prices, was_divided)
    }

    /// The same for some engines of a pool, to which its requests go.
    pub fn among<'a>(
        engines: impl Iterator<Item = &'a Engine>,
        tokens_per_second: f64,
        prices: &PlacementPrices,
        was_divided: bool,
    ) -> Option<Self> {
        let engines: Vec<&Engine> = engines.collect();
        let slots: u32 = engines.iter().map(|engine| engine.entry.slots).sum();
        let requests: u32 = engines.iter().map(|engine| engine.load().requests).sum();
        let capacity = engines.len() as f64 * prices.read_tokens_per_ms * 1e3;
        let busy = tokens_per_second / capacity.max(1.0);
        let occupied = f64::from(requests) / f64::from(slots.max(1));
        let for_reading = busy / BUSY_SHARE;
        let needed = for_reading + occupied / OCCUPIED_SHARE;
        let most_needed = match was_divided {
            true => MOST_NEEDED_WHILE_DIVIDED,
            false => MOST_NEEDED,
        };
        if busy < LEAST_BUSY_SHARE || needed > most_needed {
            return None;
        }
        let mut hashes: BTreeMap<&ZoneName, Vec<u64>> = BTreeMap::new();
        for engine in engines {
            let of_zone = hashes.entry(&engine.entry.zone).or_default();
            of_zone.push(engine.name_hash);
        }
        // What is to spare goes to both sides alike.
        let share = for_reading / needed;
        let last_reading = hashes
            .into_iter()
            .filter_map(|(zone, hashes)| Some((zone.clone(), last_reading(hashes, share)?)))
            .collect();
        Some(Self { last_reading })
    }

    /// How many engines are kept for requests that mostly read.
    pub fn count(&self, engines: &EngineTable) -> usize {
        engines.iter().filter(|engine| self.reads(engine)).count()
    }

    /// Whether an engine is kept for requests that mostly read.
    pub fn reads(&self, engine: &Engine) -> bool {
        let last = self.last_reading.get(&engine.entry.zone);
        last.is_some_and(|last| engine.name_hash <= *last)
    }
}

/// The last of a zone's engines that mostly read: at least one does and one does not, where there
/// are two.
fn last_reading(mut hashes: Vec<u64>, share: f64) -> Option<u64> {
    hashes.sort_unstable();
    let most = hashes.len().checked_sub(1).filter(|most| *most > 0)?;
    let wanted = (share * hashes.len() as f64).round() as usize;
    Some(hashes[wanted.clamp(1, most) - 1])
}

/// Whether an engine spends more time on reading a prompt than on the answer.
pub fn mostly_reads(prompt: &Prompt, prices: &PlacementPrices) -> bool {
    let tokens = prompt.expected_tokens.unwrap_or(prompt.output_tokens);
    let reading_ms = f64::from(prompt.prompt_tokens) / prices.read_tokens_per_ms;
    let generating_ms = f64::from(tokens) * prices.token_ms;
    reading_ms > generating_ms
}
