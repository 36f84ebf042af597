//! What is known of the caches of engines.

use super::{CacheEpoch, EngineKey, GenerationalMap, Holder, PlacementPoints};
use crate::prompt::BlockHash;
use crate::timestamp::Timestamp;

/// Most engines remembered for one prefix; the least recently used is forgotten first.
const HOLDERS_PER_PREFIX: usize = 8;

/// Which engines were given which prefixes, learnt from this process's own requests; bounded.
///
/// Each entry names the [`CacheEpoch`] it speaks of, and [`CacheDirectory::holders`] leaves out
/// those of any other, so nothing known of a dead incarnation or of other weights is ever used.
#[derive(Debug, Clone)]
pub struct CacheDirectory {
    holders: GenerationalMap<Vec<Holder>>,
}

impl CacheDirectory {
    /// Knows nothing; remembers up to twice `generation_size` prefixes.
    pub fn new(generation_size: usize) -> Self {
        Self {
            holders: GenerationalMap::new(generation_size),
        }
    }

    /// Notes that an engine was given a prompt: its cache holds all its prefixes.
    pub fn note(
        &mut self,
        points: &PlacementPoints,
        engine: EngineKey,
        epoch: CacheEpoch,
        now: Timestamp,
    ) {
        let holder = Holder {
            engine,
            epoch,
            used_at: now,
        };
        for point in points.all() {
            let holders = self.holders.get_or_insert_with(point.hash, Vec::new);
            insert_holder(holders, holder);
        }
    }

    /// Notes that an engine did not take a prompt after all.
    pub fn forget(&mut self, points: &PlacementPoints, engine: EngineKey) {
        for point in points.all() {
            if let Some(holders) = self.holders.get_mut(point.hash) {
                holders.retain(|holder| holder.engine != engine);
            }
        }
    }

    /// The engines whose cache, in its current life as `epoch_of` tells it, was given the prefix.
    pub fn holders<'a>(
        &'a self,
        prefix: BlockHash,
        epoch_of: impl Fn(EngineKey) -> Option<CacheEpoch> + 'a,
    ) -> impl Iterator<Item = Holder> + 'a {
        self.holders
            .get(prefix)
            .into_iter()
            .flatten()
            .copied()
            .filter(move |holder| Some(holder.epoch) == epoch_of(holder.engine))
    }
}

fn insert_holder(holders: &mut Vec<Holder>, holder: Holder) {
    holders.retain(|known| known.engine != holder.engine);
    holders.push(holder);
    if holders.len() > HOLDERS_PER_PREFIX {
        let oldest = (0..holders.len())
            .min_by_key(|index| holders[*index].used_at)
            .expect("not empty");
        holders.remove(oldest);
    }
}
