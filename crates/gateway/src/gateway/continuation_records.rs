//! Records of versions and streams in the store; see docs/design/continuations.md.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::continuation::{
    Entry, Journal, Knowledge, SETTLING_TIME, Segment, Shard, Source, StoredSegment, StreamId,
};
use ryerouter_core::identity::PoolName;
use ryerouter_core::placement::rendezvous_score;
use ryerouter_core::release::SoftwareVersion;
use slog::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

use super::{Gateway, GatewayState};
use crate::continuation::VersionRecord;
use crate::source::{SourceError, StoredVersions, VersionList};

/// Number of nodes that read a shard's stored records for others. The first one also writes them.
const SHARD_READERS: usize = 2;
/// A node that has just started doesn't know the others, and would take itself for the one that writes.
const WRITER_DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Time by which the second node, the third one and so on write the versions of a pool later than the first one.
const WRITER_STAGGER: Duration = Duration::from_secs(1);
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
    pub(crate) fn apply_version_records(&self, listed: VersionList) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        state.continuations.versions.note_era(listed.era);
        let is_first = state.continuations.versions.read_at.is_none();
        let pools: Vec<_> = listed
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
            self.versions_read.notify_waiters();
        }
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
        }
        info!(self.log(), "versions_read"; "pool" => %record.pool,
            "versions" => joined(&record.versions), "era" => record.era, "source_era" => era,
            "is_incomplete" => history.is_incomplete(&record.pool, now));
        is_new
    }

    /// Settles what the pools mean that had no record when this node was started. At the first start of the deployment,
    /// or where another node has been running since well before, nothing can have served unnoticed; otherwise the
    /// record may be lost.
    fn settle_unrecorded_pools(&self, state: &mut GatewayState, now: Timestamp) {
        let is_noticed =
            state.continuations.versions.is_first_start || self.hears_older_node(state);
        if !is_noticed && self.uptime() < WRITER_DISCOVERY_TIME {
            return;
        }
        let versions = &mut state.continuations.versions;
        for pool in std::mem::take(&mut versions.unrecorded_at_start) {
            if !is_noticed && state.continuations.history.note_incomplete(&pool, now) {
                info!(self.log(), "versions_unknown"; "pool" => %pool);
                self.announce_streams(state, &pool, now);
            }
        }
    }

    /// Schedules a record for each pool whose versions the store does not hold as they are.
    pub(crate) fn schedule_version_records(&self) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let state = &mut *state;
        let era = state.source_era;
        state.continuations.versions.note_era(era);
        self.settle_unrecorded_pools(state, now);
        let pools: Vec<_> = state.continuations.history.pools().cloned().collect();
        for pool in pools {
            let record = self.record_of(state, &pool, now);
            let is_outdated = state.continuations.versions.is_outdated(&record);
            let rank = self.writer_rank(state, &pool, now);
            if record.versions.is_empty() || !is_outdated || rank >= WRITERS {
                state.continuations.versions.cancel(&pool);
                continue;
            }
            let discovery = WRITER_DISCOVERY_TIME.saturating_sub(self.uptime());
            let at = now.after(discovery + WRITER_STAGGER * rank as u32);
            state.continuations.versions.schedule(&pool, at);
        }
    }

    /// The pools whose versions this node writes now.
    pub(crate) fn due_version_records(&self) -> Vec<PoolName> {
        let now = self.clock().now();
        self.state().continuations.versions.due(now)
    }

    /// The record that a pool should have, and the revision that it replaces.
    pub(crate) fn version_record(&self, pool: &PoolName) -> (VersionRecord, Option<u64>) {
        let now = self.clock().now();
        let state = self.state();
        let recorded = state.continuations.versions.recorded(pool);
        let revision = recorded.map(|stored| stored.revision);
        (self.record_of(&state, pool, now), revision)
    }

    fn record_of(&self, state: &GatewayState, pool: &PoolName, now: Timestamp) -> VersionRecord {
        let continuations = &state.continuations;
        VersionRecord {
            pool: pool.clone(),
            versions: self.recordable_versions(state, pool, now),
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

    /// Versions of a pool that new streams avoid while there are others: the store does not hold them yet, so after a
    /// restart of all nodes nobody would know that they served.
    pub(super) fn unrecorded_versions(
        &self,
        state: &GatewayState,
        pool: &PoolName,
        now: Timestamp,
    ) -> Vec<SoftwareVersion> {
        let known = state.continuations.history.versions(pool, now);
        let versions = &state.continuations.versions;
        let unrecorded = known.into_iter();
        unrecorded
            .filter(|software| versions.is_unrecorded(pool, software))
            .collect()
    }

    /// Whether the stored records of a shard are to be read.
    pub(crate) fn wants_shard(&self, shard: Shard) -> bool {
        let state = self.state();
        let continuations = &state.continuations;
        let reading = continuations.readings.get(&shard);
        let journal = continuations.journals.get(&shard);
        reading.is_some_and(|reading| reading.is_wanted)
            || journal.is_some_and(Journal::needs_position)
    }

    /// Applies the stored records of a shard.
    pub(crate) fn apply_segments(&self, shard: Shard, segments: Vec<StoredSegment>) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let continuations = &mut state.continuations;
        let mut streams = 0;
        for stored in &segments {
            for (stream, entry) in &stored.segment.streams {
                let (pool, software) = (&entry.pool, &entry.software);
                let register = &mut continuations.register;
                streams += 1;
                // What is known is not renewed, or it would push out what this node alone knows.
                if register.get(*stream, now) == Knowledge::Unknown {
                    register.note(*stream, pool, software, Source::Peer, now);
                }
            }
        }
        info!(self.log(), "streams_read"; "shard" => %shard, "segments" => segments.len(),
            "streams" => streams);
        let journal = continuations.journals.entry(shard).or_default();
        journal.begin_after(&segments);
        let reading = continuations.readings.entry(shard).or_default();
        reading.is_wanted = false;
        reading.ended_at = Some(now);
        self.shard_read.notify_waiters();
        // Records may have waited for the position of the journal.
        self.stream_records_due.notify_waiters();
    }

    /// Handles a failed reading of a shard's records.
    pub(crate) fn note_shard_unread(&self, shard: Shard, error: &SourceError) {
        warn!(self.log(), "streams_unread"; "shard" => %shard, "error" => %error);
        let now = self.clock().now();
        let mut state = self.state_mut();
        let reading = state.continuations.readings.entry(shard).or_default();
        reading.is_wanted = false;
        reading.ended_at = Some(now);
        self.shard_read.notify_waiters();
    }

    /// Whether the stored records of a shard have been read lately, as far as this node reads them and the pool needs
    /// records; otherwise they will be.
    pub(super) fn has_read_shard(&self, shard: Shard, pool: &PoolName) -> bool {
        let now = self.clock().now();
        let mut state = self.state_mut();
        if !needs_stream_records(&state, pool, now) {
            return true;
        }
        let readers = self.shard_readers(&state, shard, now);
        if !state.continuations.versions.has_store || !readers.contains(&None) {
            return true;
        }
        let reading = state.continuations.readings.entry(shard).or_default();
        if reading.is_recent(now) && !reading.is_wanted {
            return true;
        }
        reading.is_wanted = true;
        self.stream_records_due.notify_waiters();
        false
    }

    /// Waits until the stored records of a shard have been read, if this node reads them.
    pub(super) async fn until_shard_read(&self, shard: Shard, pool: &PoolName) {
        loop {
            let read = self.shard_read.notified();
            if self.has_read_shard(shard, pool) {
                return;
            }
            read.await;
        }
    }

    /// The next segment of a shard to be written, and the revision that it replaces.
    pub(crate) fn next_segment(&self, shard: Shard) -> Option<(Segment, Option<u64>)> {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let journal = state.continuations.journals.get_mut(&shard)?;
        journal.begin_write(now)
    }

    /// Handles a segment that the store has taken.
    pub(crate) fn note_segment_written(&self, shard: Shard, streams: usize, revision: u64) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let journal = state.continuations.journals.entry(shard).or_default();
        journal.end_write(revision);
        let unwritten = journal.unwritten();
        drop(state);
        if let Some(left_out) = self.continuation_sampler().admit(now) {
            info!(self.log(), "streams_recorded"; "shard" => %shard, "streams" => streams,
                "unwritten" => unwritten, "revision" => revision, "left_out" => left_out);
        }
    }

    /// Handles a segment that another node has written since.
    pub(crate) fn note_segment_conflict(&self, shard: Shard, found: Option<StoredSegment>) {
        info!(self.log(), "stream_record_conflict"; "shard" => %shard,
            "streams" => found.as_ref().map(|found| found.segment.streams.len()));
        let mut state = self.state_mut();
        let journal = state.continuations.journals.entry(shard).or_default();
        journal.resolve_conflict(found);
    }

    /// Handles a segment that the store has not acknowledged.
    pub(crate) fn note_segment_unwritten(&self, shard: Shard) {
        let mut state = self.state_mut();
        let journal = state.continuations.journals.entry(shard).or_default();
        journal.fail_write();
    }

    /// Schedules streams to be written to the store by this node.
    pub(super) fn journal_streams(
        &self,
        state: &mut GatewayState,
        streams: &[StreamId],
        pool: &PoolName,
        software: &SoftwareVersion,
        now: Timestamp,
    ) {
        if !state.continuations.versions.has_store {
            return;
        }
        for stream in streams {
            let journals = &mut state.continuations.journals;
            let entry = Entry {
                pool: pool.clone(),
                software: software.clone(),
            };
            let journal = journals.entry(stream.shard()).or_default();
            journal.note(*stream, entry, now);
        }
        self.stream_records_due.notify_waiters();
    }

    /// The node that writes a shard's records, and those that read them for others, by rendezvous hashing; `None`
    /// stands for this node.
    pub(super) fn shard_readers(
        &self,
        state: &GatewayState,
        shard: Shard,
        now: Timestamp,
    ) -> Vec<Option<SocketAddr>> {
        let key = shard.rendezvous_key();
        let own = (rendezvous_score(key, self.own_name_hash()), None);
        let peers = state.peers.alive(now).map(|peer| {
            let hash = xxh3_64(peer.identity.name.as_str().as_bytes());
            (
                rendezvous_score(key, hash),
                Some(peer.identity.peer_address),
            )
        });
        let mut first: Vec<(u64, Option<SocketAddr>)> = Vec::with_capacity(SHARD_READERS + 1);
        for node in peers.chain([own]) {
            let at = first.partition_point(|(score, _)| *score > node.0);
            first.insert(at, node);
            first.truncate(SHARD_READERS);
        }
        first.into_iter().map(|(_, address)| address).collect()
    }

    fn own_name_hash(&self) -> u64 {
        xxh3_64(self.settings().identity.name.as_str().as_bytes())
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

/// Whether the versions of a pool's streams are kept: several versions may have streams under way, or would be taken for
/// it after a restart.
pub(super) fn needs_stream_records(state: &GatewayState, pool: &PoolName, now: Timestamp) -> bool {
    let continuations = &state.continuations;
    continuations.history.is_mixed(pool, now) || continuations.versions.is_mixed(pool)
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
