//! Which engines hold which prefixes.

use std::collections::HashMap;
use std::net::SocketAddr;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;

use super::PartKey;

/// Most holders that are remembered of one prefix, the latest ones.
const MAX_HOLDERS: usize = 6;

/// Name under which a store of kept KV cache stands in the table.
pub fn store_holder_name(address: SocketAddr) -> BackEndName {
    BackEndName::new(format!("kv-store/{address}"))
}

#[derive(Debug, Clone)]
struct Holder {
    engine: BackEndName,
    used_at: Timestamp,
    /// Whether other nodes know of it too.
    is_announced: bool,
}

/// Which engines read or fetched which prefixes lately; bounded, the longest unused go first.
#[derive(Debug)]
pub struct HolderTable {
    capacity: usize,
    holders: HashMap<PartKey, Vec<Holder>>,
}

impl HolderTable {
    /// A table of at most `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            holders: HashMap::new(),
        }
    }

    /// `engine` used the prefix at `at`, which other nodes know too.
    pub fn note(&mut self, key: PartKey, engine: &BackEndName, at: Timestamp) {
        self.insert(key, engine, at, true);
    }

    /// `engine` used the prefix at `at`, which no other node is told.
    pub fn note_local(&mut self, key: PartKey, engine: &BackEndName, at: Timestamp) {
        self.insert(key, engine, at, false);
    }

    fn insert(&mut self, key: PartKey, engine: &BackEndName, at: Timestamp, is_announced: bool) {
        if !self.holders.contains_key(&key) && self.holders.len() >= self.capacity {
            self.forget_oldest();
        }
        let holders = self.holders.entry(key).or_default();
        if let Some(known) = holders.iter_mut().find(|known| known.engine == *engine) {
            known.used_at = known.used_at.max(at);
            known.is_announced |= is_announced;
            return;
        }
        if holders.len() >= MAX_HOLDERS {
            let oldest = (0..holders.len()).min_by_key(|&index| holders[index].used_at);
            holders.swap_remove(oldest.unwrap_or_default());
        }
        holders.push(Holder {
            engine: engine.clone(),
            used_at: at,
            is_announced,
        });
    }

    /// Whether anything is known of the prefix.
    pub fn contains(&self, key: PartKey) -> bool {
        self.holders.contains_key(&key)
    }

    /// Engines that used the prefix, with the time of the last use.
    pub fn of(&self, key: PartKey) -> impl Iterator<Item = (&BackEndName, Timestamp)> {
        let holders = self.holders.get(&key);
        holders
            .into_iter()
            .flatten()
            .map(|holder| (&holder.engine, holder.used_at))
    }

    /// When a store of kept KV cache was last known to hold the part.
    pub fn stored_at(&self, key: PartKey, store: SocketAddr) -> Option<Timestamp> {
        let store = store_holder_name(store);
        let mut holders = self.of(key);
        let in_store = holders.find(|(name, _)| **name == store);
        in_store.map(|(_, used_at)| used_at)
    }

    /// An engine holds nothing any more.
    pub fn forget_engine(&mut self, engine: &BackEndName) {
        self.holders.retain(|_, holders| {
            holders.retain(|holder| holder.engine != *engine);
            !holders.is_empty()
        });
    }

    /// One engine does not hold one prefix any more; `true` when other nodes believe that it does.
    pub fn forget(&mut self, key: PartKey, engine: &BackEndName) -> bool {
        let Some(holders) = self.holders.get_mut(&key) else {
            return false;
        };
        let position = holders.iter().position(|holder| holder.engine == *engine);
        position.is_some_and(|position| holders.swap_remove(position).is_announced)
    }

    /// Drops the eighth of the prefixes that were unused longest, so that this is done seldom.
    fn forget_oldest(&mut self) {
        let last_use = |holders: &[Holder]| holders.iter().map(|holder| holder.used_at).max();
        let mut times: Vec<_> = self.holders.values().map(|held| last_use(held)).collect();
        times.sort_unstable();
        let limit = times[times.len() / 8];
        self.holders.retain(|_, held| last_use(held) > limit);
    }
}
