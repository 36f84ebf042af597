//! Which versions of engines' software the store holds; see docs/design/continuations.md.

use std::collections::BTreeSet;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::continuation::SETTLING_TIME;
use ryerouter_core::identity::PoolName;
use ryerouter_core::placement::rendezvous_score;
use ryerouter_core::release::SoftwareVersion;
use slog::info;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::version_witnesses::knows_past;
use super::{Gateway, GatewayState};
use crate::continuation::VersionRecord;
use crate::release::Admission;
use crate::source::{StoredVersions, VersionList};

/// A node that has just started doesn't know the others, and would take itself for the one that writes.
pub(super) const WRITER_DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Time by which the second node, the third one and so on write the versions of a pool later than the first one.
const WRITER_STAGGER: Duration = Duration::from_secs(1);
/// Time after which nodes read what the first writer has written.
const READING_DELAY: Duration = Duration::from_millis(800);
/// Time between two readings for streams that wait for them, at one node alone.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(250);
/// Mean time between the readings of two nodes.
const READING_SPREAD: Duration = Duration::from_millis(1);
/// Uptime until which new streams wait for the recorded versions, so that they don't begin at one that the store does not
/// hold. Beyond it the store may be away for long.
const MAX_RECORDS_WAIT: Duration = Duration::from_millis(1_500);
/// Number of nodes that write the versions of a pool. One that fails is not counted any more by the others.
const WRITERS: usize = 4;

impl Gateway {
    /// Makes streams without a record wait from now on until the recorded versions have been read.
    pub(crate) fn expect_version_records(&self, is_first_start: bool) {
        let versions = &mut self.state_mut().continuations.versions;
        versions.has_store = true;
        versions.is_first_start = is_first_start;
    }

    /// Applies the recorded versions, as they are read at the start and again before any are written.
    pub(crate) fn apply_version_records(&self, listed: VersionList, asked_at: Timestamp) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        state.continuations.versions.note_era(listed.era);
        let is_first = state.continuations.versions.read_at.is_none();
        let pools: BTreeSet<_> = listed
            .records
            .iter()
            .map(|stored| stored.record.pool.clone())
            .collect();
        for stored in listed.records {
            let is_new = match is_first {
                true => self.apply_first_record(&mut state, &stored.record, listed.era, now),
                false => note_unheard_versions(&mut state, &stored.record, now),
            };
            if is_new {
                self.announce_streams(&mut state, &stored.record.pool, now);
            }
            state.continuations.versions.note_recorded(stored);
        }
        state.continuations.versions.read_at.get_or_insert(now);
        if is_first {
            let continuations = &mut state.continuations;
            let listed_pools = continuations.history.pools();
            let unrecorded = listed_pools.filter(|pool| !pools.contains(pool)).cloned();
            continuations.versions.unrecorded_at_start = unrecorded.collect();
            // One of them may be that of any pool without a record.
            continuations.versions.is_first_start &= !listed.has_unreadable;
        }
        state.continuations.versions.note_read(pools, asked_at);
        self.versions_read.notify_waiters();
    }

    /// Waits until the recorded versions have been read.
    pub(super) async fn until_versions_read(&self) {
        loop {
            let read = self.versions_read.notified();
            if !self.state().continuations.versions.awaits_reading() {
                return;
            }
            read.await;
        }
    }

    /// Waits until the recorded versions have been read, if this node has just started and knows several versions of a pool.
    pub(crate) async fn until_versions_settled(&self, pool: &PoolName) {
        let now = self.clock().now();
        let is_mixed = self.state().continuations.history.is_mixed(pool, now);
        let left = MAX_RECORDS_WAIT.saturating_sub(self.uptime());
        if is_mixed && !left.is_zero() {
            let read = self.until_versions_read();
            if self.clock().until(now.after(left), read).await.is_none() {
                info!(self.log(), "streams_begin_without_version_records"; "pool" => %pool);
            }
        }
    }

    /// Waits until the recorded versions have been read by a call that began after `at`, if that may show that one version
    /// alone served the pool until then, although several are known.
    pub(super) async fn until_only_version_confirmed(&self, pool: &PoolName, at: Timestamp) {
        self.until_versions_read().await;
        loop {
            let read = self.versions_read.notified();
            if !self.wants_confirmation(pool, at) {
                return;
            }
            self.version_reading_wanted.notify_one();
            read.await;
        }
    }

    fn wants_confirmation(&self, pool: &PoolName, at: Timestamp) -> bool {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let continuations = &mut state.continuations;
        let is_mixed = continuations.history.is_mixed(pool, now);
        let versions = &mut continuations.versions;
        let may_confirm = is_mixed && versions.only_recorded(pool).is_some();
        let is_wanted = may_confirm && versions.only_recorded_since(pool, at).is_none();
        versions.is_reading_wanted |= is_wanted;
        is_wanted
    }

    /// Resolves once the recorded versions are to be read for a stream that waits for it.
    pub(crate) async fn until_version_reading_wanted(&self) {
        loop {
            let wanted = self.version_reading_wanted.notified();
            match self.pause_before_wanted_reading() {
                None => wanted.await,
                Some(Duration::ZERO) => return,
                Some(pause) => sleep(pause).await,
            }
        }
    }

    /// Time until the recorded versions are read for streams that wait for it; `None` if there are none.
    fn pause_before_wanted_reading(&self) -> Option<Duration> {
        let now = self.clock().now();
        let state = self.state();
        let versions = &state.continuations.versions;
        let interval = CONFIRMATION_INTERVAL + READING_SPREAD * state.peers.known_count() as u32;
        let since = versions.read_asked_at.map(|at| now.since(at));
        versions
            .is_reading_wanted
            .then(|| interval.saturating_sub(since.unwrap_or(interval)))
    }

    /// Applies a record as this node finds it at its start: each of its versions may have streams under way. Returns
    /// whether that makes the pool one of several versions.
    fn apply_first_record(
        &self,
        state: &mut GatewayState,
        record: &VersionRecord,
        era: u64,
        now: Timestamp,
    ) -> bool {
        let history = &mut state.continuations.history;
        let mut is_new = false;
        for software in &record.versions {
            is_new |= history.note_told(&record.pool, software, now, now);
        }
        // A copy of the store may lack what was recorded last.
        if record.era < era || record.is_incomplete {
            is_new |= history.note_incomplete(&record.pool, now);
        } else {
            let unproven = &mut state.continuations.versions.unproven_at_start;
            unproven.insert(record.pool.clone(), record.clone());
        }
        let history = &state.continuations.history;
        info!(self.log(), "versions_read"; "pool" => %record.pool,
            "versions" => joined(&record.versions), "era" => record.era, "source_era" => era,
            "is_incomplete" => history.is_incomplete(&record.pool, now),
            "witnesses" => record.witnesses.len(),
            "is_proven" => knows_past(state, &record.pool, now));
        is_new
    }

    /// Settles what the pools mean that had no record when this node was started. At the first start of the deployment,
    /// or where another node has been running since well before, nothing can have served unnoticed; otherwise the
    /// record may be lost.
    fn settle_unrecorded_pools(&self, state: &mut GatewayState, now: Timestamp) {
        let why_complete = self.why_unrecorded_is_complete(state);
        if why_complete.is_none() && self.uptime() < WRITER_DISCOVERY_TIME {
            return;
        }
        let versions = &mut state.continuations.versions;
        for pool in std::mem::take(&mut versions.unrecorded_at_start) {
            if let Some(why) = why_complete {
                info!(self.log(), "unrecorded_pool_complete"; "pool" => %pool, "why" => why);
            } else if state.continuations.history.note_incomplete(&pool, now) {
                info!(self.log(), "versions_unknown"; "pool" => %pool);
                self.announce_streams(state, &pool, now);
            }
        }
    }

    /// Why a pool without a record has had no version that this node does not know; `None` if it may have had one.
    fn why_unrecorded_is_complete(&self, state: &GatewayState) -> Option<&'static str> {
        if state.continuations.versions.is_first_start {
            return Some("first_start");
        }
        self.hears_older_node(state).then_some("older_node")
    }

    /// Schedules a record for each pool whose versions the store does not hold as they are.
    pub(crate) fn schedule_version_records(&self) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let state = &mut *state;
        let era = state.source_era;
        state.continuations.versions.note_era(era);
        self.settle_unrecorded_pools(state, now);
        self.settle_unproven_records(state, now);
        let pools: Vec<_> = state.continuations.history.pools().cloned().collect();
        for pool in &pools {
            let serving = state.continuations.history.versions(pool, now);
            state.continuations.versions.note_serving(pool, &serving);
        }
        self.schedule_version_reading(state, &pools, now);
        for pool in pools {
            let rank = self.writer_rank(state, &pool, now);
            // Choosing witnesses takes a look at every engine.
            if rank >= WRITERS || !self.is_record_outdated(state, &pool, now) {
                state.continuations.versions.cancel(&pool);
                continue;
            }
            let discovery = WRITER_DISCOVERY_TIME.saturating_sub(self.uptime());
            let at = now.after(discovery + WRITER_STAGGER * rank as u32);
            state.continuations.versions.schedule(&pool, at);
        }
    }

    /// Whether the record of a pool is to be written as it should be now.
    fn is_record_outdated(&self, state: &GatewayState, pool: &PoolName, now: Timestamp) -> bool {
        let record = self.record_of(state, pool, now);
        let is_outdated = state.continuations.versions.is_outdated(&record);
        let is_wanted = is_outdated || self.lacks_witnesses(state, pool, now);
        is_wanted && !record.versions.is_empty()
    }

    /// Schedules a reading of the records if other nodes write a version that this one does not know to be recorded.
    fn schedule_version_reading(
        &self,
        state: &mut GatewayState,
        pools: &[PoolName],
        now: Timestamp,
    ) {
        let continuations = &state.continuations;
        let is_lacking = pools.iter().any(|pool| {
            let versions = continuations.history.versions(pool, now);
            let mut lacking = versions.iter();
            lacking.any(|software| continuations.versions.lacks(pool, software))
                && self.writer_rank(state, pool, now) > 0
        });
        let delay = self.version_reading_delay(state);
        let versions = &mut state.continuations.versions;
        match is_lacking {
            true => versions.schedule_reading(delay, now),
            false => versions.cancel_reading(),
        }
    }

    /// The first writer has written by then; many nodes don't read at the same time.
    fn version_reading_delay(&self, state: &GatewayState) -> Duration {
        let discovery = WRITER_DISCOVERY_TIME.saturating_sub(self.uptime());
        let spread = READING_SPREAD * state.peers.known_count() as u32;
        let share = self.own_name_hash() as f64 / u64::MAX as f64;
        discovery + READING_DELAY + spread.mul_f64(share)
    }

    /// Whether this node reads the records again now.
    pub(crate) fn is_version_reading_due(&self) -> bool {
        let now = self.clock().now();
        let is_due = self.state().continuations.versions.is_reading_due(now);
        is_due || self.pause_before_wanted_reading() == Some(Duration::ZERO)
    }

    /// The pools whose versions this node writes now.
    pub(crate) fn due_version_records(&self) -> Vec<PoolName> {
        let now = self.clock().now();
        self.state().continuations.versions.due(now)
    }

    /// The record that a pool should have, to be written now, and the revision that it replaces.
    pub(crate) fn version_record(&self, pool: &PoolName) -> (VersionRecord, Option<u64>) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let record = self.record_of(&state, pool, now);
        let versions = &mut state.continuations.versions;
        versions.note_writing(&record);
        let revision = versions.recorded(pool).map(|stored| stored.revision);
        (record, revision)
    }

    fn record_of(&self, state: &GatewayState, pool: &PoolName, now: Timestamp) -> VersionRecord {
        let continuations = &state.continuations;
        let versions = self.recordable_versions(state, pool, now);
        VersionRecord {
            pool: pool.clone(),
            witnesses: self.witnesses_of(state, pool, &versions, now),
            versions,
            era: continuations.versions.era(),
            is_incomplete: continuations.history.is_incomplete(pool, now),
        }
    }

    /// The versions of a pool that may have streams under way. While the list may be behind, none that is recorded counts
    /// as gone.
    fn recordable_versions(
        &self,
        state: &GatewayState,
        pool: &PoolName,
        now: Timestamp,
    ) -> BTreeSet<SoftwareVersion> {
        let continuations = &state.continuations;
        let versions = continuations.history.versions(pool, now);
        let mut versions: BTreeSet<_> = versions.into_iter().collect();
        if !state.is_engine_list_current(SETTLING_TIME, now)
            && let Some(stored) = continuations.versions.recorded(pool)
        {
            versions.extend(stored.record.versions.iter().cloned());
        }
        versions
    }

    /// Handles versions that the store has taken.
    pub(crate) fn note_versions_written(&self, record: VersionRecord, revision: u64) {
        info!(self.log(), "versions_recorded"; "pool" => %record.pool, "revision" => revision,
            "versions" => joined(&record.versions), "era" => record.era);
        let mut state = self.state_mut();
        let versions = &mut state.continuations.versions;
        versions.cancel(&record.pool);
        versions.note_recorded(StoredVersions { record, revision });
    }

    /// Handles versions that another node has written since.
    pub(crate) fn note_version_conflict(&self, pool: &PoolName, found: Option<StoredVersions>) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        match found {
            None => state.continuations.versions.note_missing(pool),
            Some(stored) => {
                note_unheard_versions(&mut state, &stored.record, now);
                state.continuations.versions.note_recorded(stored);
            }
        }
    }

    /// Position of this node among those that may write a pool's versions.
    fn writer_rank(&self, state: &GatewayState, pool: &PoolName, now: Timestamp) -> usize {
        let key = xxh3_64(pool.as_str().as_bytes());
        let own = rendezvous_score(key, self.own_name_hash());
        let peers = state.peers.alive(now);
        let before = peers.filter(|peer| {
            let hash = xxh3_64(peer.identity.name.as_str().as_bytes());
            rendezvous_score(key, hash) > own
        });
        before.take(WRITERS).count()
    }
}

/// Takes the versions off an admission that other nodes may not know yet, and those that the store does not hold yet:
/// after a restart of all nodes nobody would know that they served. They stay if no other engine in service is admitted.
pub(super) fn without_unsettled(
    state: &GatewayState,
    pool: &PoolName,
    admission: Admission,
    now: Timestamp,
) -> Admission {
    let mut unsettled = unrecorded_versions(state, pool, now);
    unsettled.extend(state.continuations.history.unsettled(pool, now));
    if unsettled.is_empty() {
        return admission;
    }
    let in_service = state.engines.of_pool(pool);
    let in_service = in_service.filter(|engine| engine.is_in_service());
    let in_service: Vec<_> = in_service.map(|engine| &engine.entry).collect();
    let settled = admission.clone().without(&unsettled, &in_service);
    match in_service.iter().any(|entry| settled.admits(entry)) {
        true => settled,
        false => admission,
    }
}

fn unrecorded_versions(
    state: &GatewayState,
    pool: &PoolName,
    now: Timestamp,
) -> BTreeSet<SoftwareVersion> {
    let known = state.continuations.history.versions(pool, now);
    let versions = &state.continuations.versions;
    let unrecorded = known.into_iter();
    unrecorded
        .filter(|software| versions.is_unrecorded(pool, software))
        .collect()
}

/// Applies versions that another node has recorded before this one has heard of them. Returns whether that makes the
/// pool one of several versions.
fn note_unheard_versions(state: &mut GatewayState, record: &VersionRecord, now: Timestamp) -> bool {
    let history = &mut state.continuations.history;
    let mut is_new = false;
    for software in &record.versions {
        if !history.is_known(&record.pool, software) {
            is_new |= history.note_told(&record.pool, software, now, now);
        }
    }
    is_new
}

fn joined(versions: &BTreeSet<SoftwareVersion>) -> String {
    let versions: Vec<_> = versions.iter().map(String::as_str).collect();
    versions.join(",")
}
