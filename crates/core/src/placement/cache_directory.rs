//! Engines whose caches hold a prefix.

use super::{CacheEpoch, EngineKey, GenerationalMap, Holder, PlacementPoints};
use crate::prompt::BlockHash;
use crate::timestamp::Timestamp;

/// Maximum number of engines kept per prefix; the least recently used is evicted first.
const MAX_HOLDERS_PER_PREFIX: usize = 8;

/// Which engines were sent which prefixes, learned from this process's own requests; bounded in
/// size.
///
/// Each entry records the [`CacheEpoch`] in which it was made, and [`CacheDirectory::holders`]
/// skips entries of any other epoch. Entries of a dead incarnation or of other weights are
/// therefore never used.
#[derive(Debug, Clone)]
pub struct CacheDirectory {
    holders: GenerationalMap<Vec<Holder>>,
}

impl CacheDirectory {
    /// Creates an empty directory of at most twice `generation_size` prefixes.
    pub fn new(generation_size: usize) -> Self {
        Self {
            holders: GenerationalMap::new(generation_size),
        }
    }

    /// Records that an engine was sent a prompt, so its cache holds all prefixes of it.
    pub fn record(
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

    /// Removes the record of a prompt that an engine did not accept after all.
    pub fn remove(&mut self, points: &PlacementPoints, engine: EngineKey) {
        for point in points.all() {
            if let Some(holders) = self.holders.get_mut(point.hash) {
                holders.retain(|holder| holder.engine != engine);
            }
        }
    }

    /// Engines that were sent the prefix in the current epoch of their cache, which `epoch_of`
    /// returns.
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
    if holders.len() > MAX_HOLDERS_PER_PREFIX {
        let oldest = (0..holders.len())
            .min_by_key(|index| holders[*index].used_at)
            .expect("not empty");
        holders.remove(oldest);
    }
}
