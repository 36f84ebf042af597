//! State of all back ends in the dispatcher.

use std::collections::BTreeMap;

use crate::catalog::{BackEnd, Catalog};
use crate::identity::BackEndName;
use crate::placement::{CacheEpoch, EngineKey, Retention};

use super::engine_record::EngineRecord;

/// State of all back ends of the catalog.
///
/// Invariant: a key is never reused, so data stored under the key of a deleted back end is never
/// attributed to a new one.
#[derive(Debug, Default)]
pub(super) struct EngineTable {
    keys: BTreeMap<BackEndName, EngineKey>,
    records: BTreeMap<EngineKey, EngineRecord>,
    next_key: u32,
}

impl EngineTable {
    /// Removes back ends that are no longer in the catalog.
    pub(super) fn retain(&mut self, catalog: &Catalog) {
        let records = &mut self.records;
        self.keys.retain(|name, key| {
            let is_kept = catalog.back_ends.contains_key(name);
            if !is_kept {
                records.remove(key);
            }
            is_kept
        });
    }

    /// The key of a back end; inserts it if it is new. A back end with a new address gets a new key
    /// and empty state.
    pub(super) fn key_or_insert(&mut self, back_end: &BackEnd, retention: Retention) -> EngineKey {
        if let Some(key) = self.keys.get(&back_end.name) {
            if self.records[key].address == back_end.address {
                return *key;
            }
            self.records.remove(key);
        }
        let key = EngineKey(self.next_key);
        self.next_key += 1;
        self.keys.insert(back_end.name.clone(), key);
        self.records
            .insert(key, EngineRecord::new(back_end.address, retention));
        key
    }

    pub(super) fn find(&self, name: &BackEndName) -> Option<EngineKey> {
        self.keys.get(name).copied()
    }

    pub(super) fn get(&self, key: EngineKey) -> Option<&EngineRecord> {
        self.records.get(&key)
    }

    pub(super) fn get_mut(&mut self, key: EngineKey) -> Option<&mut EngineRecord> {
        self.records.get_mut(&key)
    }

    /// Current cache generation of a back end.
    pub(super) fn epoch_of(&self, key: EngineKey) -> Option<CacheEpoch> {
        self.get(key).map(EngineRecord::epoch)
    }
}
