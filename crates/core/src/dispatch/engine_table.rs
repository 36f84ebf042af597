//! What the dispatcher knows of all back ends.

use std::collections::BTreeMap;

use crate::catalog::{BackEnd, Catalog};
use crate::identity::BackEndName;
use crate::placement::{CacheEpoch, EngineKey, Retention};

use super::engine_record::EngineRecord;

/// What the dispatcher knows of all back ends of the catalog.
///
/// Invariant: a key is never given to another back end, so what is remembered under the key of a
/// deleted back end never speaks of a new one.
#[derive(Debug, Default)]
pub(super) struct EngineTable {
    keys: BTreeMap<BackEndName, EngineKey>,
    records: BTreeMap<EngineKey, EngineRecord>,
    next_key: u32,
}

impl EngineTable {
    /// Drops back ends that the catalog no longer has.
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

    /// The key of a back end; a back end that moved to another address is a new one.
    pub(super) fn key_of(&mut self, back_end: &BackEnd, retention: Retention) -> EngineKey {
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

    /// The current life of a back end's cache.
    pub(super) fn epoch_of(&self, key: EngineKey) -> Option<CacheEpoch> {
        self.get(key).map(EngineRecord::epoch)
    }
}
