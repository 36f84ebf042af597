//! What a node knows of the recorded versions.

use std::collections::{BTreeMap, BTreeSet};

use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;
use ryerouter_core::release::SoftwareVersion;

use crate::source::StoredVersions;

/// What a node knows of the versions that the store holds, and what it has to write.
#[derive(Debug, Default)]
pub struct VersionTable {
    /// Whether there is a store.
    pub has_store: bool,
    /// Whether the records have been read since this node was started.
    pub is_read: bool,
    /// Era of the store, as far as known.
    era: u64,
    recorded: BTreeMap<PoolName, StoredVersions>,
    /// When this node writes the versions of a pool, unless another one has until then.
    due: BTreeMap<PoolName, Timestamp>,
}

impl VersionTable {
    /// Whether this node knows which versions served before it was started.
    pub fn knows_past(&self) -> bool {
        self.is_read || !self.has_store
    }

    /// What the store holds of a pool.
    pub fn recorded(&self, pool: &PoolName) -> Option<&StoredVersions> {
        self.recorded.get(pool)
    }

    /// Records what the store holds of a pool.
    pub fn note_recorded(&mut self, stored: StoredVersions) {
        self.recorded.insert(stored.record.pool.clone(), stored);
    }

    /// Records that the store holds nothing of a pool.
    pub fn note_missing(&mut self, pool: &PoolName) {
        self.recorded.remove(pool);
    }

    /// Whether the store holds other versions of a pool, or holds them as of an earlier era.
    pub fn is_outdated(&self, pool: &PoolName, versions: &BTreeSet<SoftwareVersion>) -> bool {
        let recorded = self.recorded.get(pool).map(|stored| &stored.record);
        recorded.is_none_or(|record| record.versions != *versions || record.era < self.era)
    }

    /// Records the era of the store.
    pub fn note_era(&mut self, era: u64) {
        self.era = self.era.max(era);
    }

    /// Era of the store, as far as known.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Whether the store holds versions of a pool, but not this one.
    pub fn is_unrecorded(&self, pool: &PoolName, software: &str) -> bool {
        let recorded = self.recorded.get(pool).map(|stored| &stored.record);
        recorded.is_some_and(|record| !record.versions.contains(software))
    }

    /// Schedules the versions of a pool to be written at `at`, unless they are scheduled already.
    pub fn schedule(&mut self, pool: &PoolName, at: Timestamp) {
        self.due.entry(pool.clone()).or_insert(at);
    }

    /// Nothing of a pool is to be written.
    pub fn cancel(&mut self, pool: &PoolName) {
        self.due.remove(pool);
    }

    /// The pools whose versions are to be written now.
    pub fn due(&self, now: Timestamp) -> Vec<PoolName> {
        let due = self.due.iter().filter(|(_, at)| now >= **at);
        due.map(|(pool, _)| pool.clone()).collect()
    }
}
