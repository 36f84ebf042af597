//! What a node knows of the recorded versions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;
use ryerouter_core::release::SoftwareVersion;

use super::VersionRecord;
use crate::source::StoredVersions;

/// Time after reading the records in which a pool that is listed for the first time counts as one that was there before.
const FIRST_LIST_TIME: Duration = Duration::from_secs(10);

/// How many times the delay of a reading is doubled while readings are of no use.
const MAX_READING_DOUBLINGS: u32 = 4;

/// What a node knows of the versions that the store holds, and what it has to write.
#[derive(Debug, Default)]
pub struct VersionTable {
    /// Whether there is a store.
    pub has_store: bool,
    /// When the records were first read since this node was started.
    pub read_at: Option<Timestamp>,
    /// Whether the deployment is started for the first time, so that pools without a record have had no streams.
    pub is_first_start: bool,
    /// When the last reading that succeeded was begun.
    pub read_asked_at: Option<Timestamp>,
    /// Pools whose records it showed.
    read_pools: BTreeSet<PoolName>,
    /// Whether a stream waits for a reading that begins after its caller came back.
    pub is_reading_wanted: bool,
    /// Pools that had no record when this node read them.
    pub unrecorded_at_start: BTreeSet<PoolName>,
    /// Records of which this node has not seen a witness in service yet, as it read them first.
    pub unproven_at_start: BTreeMap<PoolName, VersionRecord>,
    /// Era of the store, as far as known.
    era: u64,
    recorded: BTreeMap<PoolName, StoredVersions>,
    /// Recorded versions whose streams can't be under way any more, since the record was last read or written. Another
    /// node may have taken them off.
    left: BTreeMap<PoolName, BTreeSet<SoftwareVersion>>,
    /// Versions that this node has tried to take off a record, and the revision that it meant to replace. The store may
    /// still do so as long as it holds that revision.
    removals: BTreeMap<PoolName, (u64, BTreeSet<SoftwareVersion>)>,
    /// When this node writes the versions of a pool, unless another one has until then.
    due: BTreeMap<PoolName, Timestamp>,
    /// When this node reads the records again, to learn which versions others have written.
    reading_due: Option<Timestamp>,
    /// Readings in a row after which versions were still missing.
    fruitless_readings: u32,
}

impl VersionTable {
    /// Whether this node has read which versions served a pool before it was started.
    pub fn has_read_past(&self, pool: &PoolName) -> bool {
        let is_recorded = self.is_first_start || !self.unrecorded_at_start.contains(pool);
        !self.has_store || self.read_at.is_some() && is_recorded
    }

    /// Whether the store has not been read yet.
    pub fn awaits_reading(&self) -> bool {
        self.has_store && self.read_at.is_none()
    }

    /// Records that a pool was listed for the first time. If that is at the start of this node, it may have served before.
    pub fn note_first_listed(&mut self, pool: &PoolName, now: Timestamp) {
        let is_at_start = self
            .read_at
            .is_some_and(|at| now.since(at) < FIRST_LIST_TIME);
        if is_at_start && !self.recorded.contains_key(pool) {
            self.unrecorded_at_start.insert(pool.clone());
        }
    }

    /// Whether the store names several versions of a pool.
    pub fn is_mixed(&self, pool: &PoolName) -> bool {
        let recorded = self.recorded.get(pool);
        let recorded = recorded
            .into_iter()
            .flat_map(|stored| &stored.record.versions);
        let mut remaining = recorded.filter(|software| !self.has_left(pool, software));
        remaining.nth(1).is_some()
    }

    /// Records which versions of a pool may have streams under way.
    pub fn note_serving(&mut self, pool: &PoolName, serving: &[SoftwareVersion]) {
        let Some(stored) = self.recorded.get(pool) else {
            return;
        };
        let versions = stored.record.versions.iter();
        let mut left = versions
            .filter(|software| !serving.contains(software))
            .cloned()
            .peekable();
        if left.peek().is_some() {
            self.left.entry(pool.clone()).or_default().extend(left);
        }
    }

    /// Whether a recorded version may be off the record now, or may still be taken off.
    fn has_left(&self, pool: &PoolName, software: &str) -> bool {
        let left = self.left.get(pool);
        let removal = self.removals.get(pool).map(|(_, removed)| removed);
        let mut gone = left.into_iter().chain(removal);
        gone.any(|versions| versions.contains(software))
    }

    /// Records that a record is about to be written, which may take versions off.
    pub fn note_writing(&mut self, record: &VersionRecord) {
        let Some(stored) = self.recorded.get(&record.pool) else {
            return;
        };
        let removed = stored.record.versions.difference(&record.versions);
        let mut removed = removed.cloned().peekable();
        if removed.peek().is_some() {
            let removals = self.removals.entry(record.pool.clone());
            let (revision, versions) = removals.or_default();
            *revision = stored.revision;
            versions.extend(removed);
        }
    }

    /// What the store holds of a pool.
    pub fn recorded(&self, pool: &PoolName) -> Option<&StoredVersions> {
        self.recorded.get(pool)
    }

    /// Records what the store holds of a pool.
    pub fn note_recorded(&mut self, stored: StoredVersions) {
        self.left.remove(&stored.record.pool);
        let removal = self.removals.get(&stored.record.pool);
        if removal.is_some_and(|(revision, _)| *revision != stored.revision) {
            self.removals.remove(&stored.record.pool);
        }
        self.recorded.insert(stored.record.pool.clone(), stored);
    }

    /// Records that the store holds nothing of a pool.
    pub fn note_missing(&mut self, pool: &PoolName) {
        self.recorded.remove(pool);
        self.removals.remove(pool);
    }

    /// Whether the store holds another record of a pool, or may do so, or holds it as of an earlier era. Other witnesses
    /// alone don't count.
    pub fn is_outdated(&self, record: &VersionRecord) -> bool {
        let mut versions = record.versions.iter();
        if versions.any(|software| self.has_left(&record.pool, software)) {
            return true;
        }
        let recorded = self.recorded.get(&record.pool);
        recorded.is_none_or(|stored| {
            let stored = &stored.record;
            let is_same = stored.versions == record.versions && stored.era == record.era;
            !is_same || stored.is_incomplete != record.is_incomplete
        })
    }

    /// Records the era of the store.
    pub fn note_era(&mut self, era: u64) {
        self.era = self.era.max(era);
    }

    /// Era of the store, as far as known.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Whether the store is not known to hold this version of a pool.
    pub fn lacks(&self, pool: &PoolName, software: &str) -> bool {
        !self.recorded.contains_key(pool) || self.is_unrecorded(pool, software)
    }

    /// Whether the store holds versions of a pool, but not this one, or no longer for certain.
    pub fn is_unrecorded(&self, pool: &PoolName, software: &str) -> bool {
        let recorded = self.recorded.get(pool).map(|stored| &stored.record);
        let has_left = self.has_left(pool, software);
        recorded.is_some_and(|record| has_left || !record.versions.contains(software))
    }

    /// Schedules the versions of a pool to be written at `at`, unless they are scheduled already.
    pub fn schedule(&mut self, pool: &PoolName, at: Timestamp) {
        self.due.entry(pool.clone()).or_insert(at);
    }

    /// Nothing of a pool is to be written.
    pub fn cancel(&mut self, pool: &PoolName) {
        self.due.remove(pool);
    }

    /// Schedules a reading of the records after `delay`, unless one is scheduled already; later each time that the last
    /// one was of no use.
    pub fn schedule_reading(&mut self, delay: Duration, now: Timestamp) {
        let factor = 1 << self.fruitless_readings.min(MAX_READING_DOUBLINGS);
        self.reading_due.get_or_insert(now.after(delay * factor));
    }

    /// Nothing is to be read.
    pub fn cancel_reading(&mut self) {
        self.reading_due = None;
        self.fruitless_readings = 0;
    }

    /// Whether the records are to be read now.
    pub fn is_reading_due(&self, now: Timestamp) -> bool {
        self.reading_due.is_some_and(|at| now >= at)
    }

    /// The only version that served a pool until `at`, if the store has confirmed that since.
    pub fn only_recorded_since(&self, pool: &PoolName, at: Timestamp) -> Option<&SoftwareVersion> {
        self.only_recorded(pool)
            .filter(|_| self.read_asked_at >= Some(at) && self.read_pools.contains(pool))
    }

    /// The version of a pool that the store holds alone, if nothing that it held may be lost.
    pub fn only_recorded(&self, pool: &PoolName) -> Option<&SoftwareVersion> {
        let record = &self.recorded.get(pool)?.record;
        let is_complete = record.era == self.era && !record.is_incomplete;
        let mut versions = record.versions.iter();
        versions
            .next()
            .filter(|_| is_complete && versions.next().is_none())
    }

    /// Records that the records of these pools were read.
    pub fn note_read(&mut self, pools: BTreeSet<PoolName>, asked_at: Timestamp) {
        self.read_asked_at = Some(asked_at);
        self.read_pools = pools;
        self.is_reading_wanted = false;
        if self.reading_due.take().is_some() {
            self.fruitless_readings += 1;
        }
    }

    /// The pools whose versions are to be written now.
    pub fn due(&self, now: Timestamp) -> Vec<PoolName> {
        let due = self.due.iter().filter(|(_, at)| now >= **at);
        due.map(|(pool, _)| pool.clone()).collect()
    }
}
