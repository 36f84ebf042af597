//! Which engines hold which prefixes.

use std::collections::HashMap;
use std::net::SocketAddr;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;

use super::PartKey;

/// Maximum number of holders recorded for one prefix; the most recent ones are kept.
const MAX_HOLDERS: usize = 6;

/// Name under which a KV store is entered as a holder.
pub fn store_holder_name(address: SocketAddr) -> BackEndName {
    BackEndName::new(format!("kv-store/{address}"))
}

#[derive(Debug, Clone)]
struct Holder {
    engine: BackEndName,
    used_at: Timestamp,
    /// Whether this holder has been announced to other nodes.
    is_announced: bool,
}

/// Engines that recently prefilled or fetched each prefix, which is identified by the key of its
/// last part. The table is bounded; the least recently used prefixes are evicted first.
#[derive(Debug)]
pub struct HolderTable {
    capacity: usize,
    holders: HashMap<PartKey, Vec<Holder>>,
}

impl HolderTable {
    /// Creates a table for at most `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            holders: HashMap::new(),
        }
    }

    /// Records that `engine` used the prefix at `at` and that other nodes know this too.
    pub fn note(&mut self, key: PartKey, engine: &BackEndName, at: Timestamp) {
        self.insert(key, engine, at, true);
    }

    /// Records that `engine` used the prefix at `at`. This is not announced to other nodes.
    pub fn note_local(&mut self, key: PartKey, engine: &BackEndName, at: Timestamp) {
        self.insert(key, engine, at, false);
    }

    fn insert(&mut self, key: PartKey, engine: &BackEndName, at: Timestamp, is_announced: bool) {
        if !self.holders.contains_key(&key) && self.holders.len() >= self.capacity {
            self.evict_oldest();
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

    /// Whether the table has an entry for the prefix.
    pub fn contains(&self, key: PartKey) -> bool {
        self.holders.contains_key(&key)
    }

    /// Engines that used the prefix, each with the time of its last use.
    pub fn of(&self, key: PartKey) -> impl Iterator<Item = (&BackEndName, Timestamp)> {
        let holders = self.holders.get(&key);
        holders
            .into_iter()
            .flatten()
            .map(|holder| (&holder.engine, holder.used_at))
    }

    /// The prefixes that `engine` holds and has not used after `used_by`.
    pub fn held_by(
        &self,
        engine: &BackEndName,
        used_by: Timestamp,
    ) -> impl Iterator<Item = PartKey> {
        let is_held = move |holders: &[Holder]| {
            let mut holders = holders.iter();
            holders.any(|holder| holder.engine == *engine && holder.used_at <= used_by)
        };
        let held = self.holders.iter();
        held.filter(move |(_, holders)| is_held(holders))
            .map(|(key, _)| *key)
    }

    /// Time at which the KV store was last known to hold the prefix.
    pub fn stored_at(&self, key: PartKey, store: SocketAddr) -> Option<Timestamp> {
        let store = store_holder_name(store);
        let mut holders = self.of(key);
        let in_store = holders.find(|(name, _)| **name == store);
        in_store.map(|(_, used_at)| used_at)
    }

    /// Removes an engine from all entries, because it holds nothing any more.
    pub fn forget_engine(&mut self, engine: &BackEndName) {
        self.holders.retain(|_, holders| {
            holders.retain(|holder| holder.engine != *engine);
            !holders.is_empty()
        });
    }

    /// Removes an engine from the holders of a prefix; returns `true` if it had been announced to
    /// other nodes as a holder.
    pub fn forget(&mut self, key: PartKey, engine: &BackEndName) -> bool {
        let Some(holders) = self.holders.get_mut(&key) else {
            return false;
        };
        let position = holders.iter().position(|holder| holder.engine == *engine);
        position.is_some_and(|position| holders.swap_remove(position).is_announced)
    }

    /// Evicts the least recently used eighth of the prefixes at once, so that the sort is rarely
    /// needed.
    fn evict_oldest(&mut self) {
        let last_use = |holders: &[Holder]| holders.iter().map(|holder| holder.used_at).max();
        let mut times: Vec<_> = self.holders.values().map(|held| last_use(held)).collect();
        times.sort_unstable();
        let limit = times[times.len() / 8];
        self.holders.retain(|_, held| last_use(held) > limit);
    }
}
