//! Which streams the store holds, and who writes and reads them; see docs/design/continuations.md.

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::continuation::{
    Entry, Journal, Knowledge, STORED_RETENTION, SegmentWrite, Shard, Source, StoredSegment,
    first_of_shard,
};
use ryerouter_core::identity::{NodeName, PoolName};
use slog::{info, warn};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::{Gateway, GatewayState};
use crate::continuation::StoreCalls;
use crate::peers::Peer;
use crate::source::SourceError;

/// Number of nodes that read a shard's stored records for others. The first one also writes them.
const SHARD_READERS: usize = 2;
/// A node that has just started doesn't know the others, and would take itself for a reader of each shard. It is shorter
/// than a stream waits at such a node.
const READER_DISCOVERY_TIME: Duration = Duration::from_millis(500);
/// Interval at which a stream that waits for a reader looks whether it is known.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Gateway {
    /// Calls to the store of versions and streams so far.
    pub fn store_calls(&self) -> StoreCalls {
        self.state().continuations.calls
    }

    /// Counts a reading of the recorded versions.
    pub(crate) fn count_version_reading(&self) {
        let mut state = self.state_mut();
        let is_wanted = state.continuations.versions.is_reading_wanted;
        let calls = &mut state.continuations.calls;
        calls.versions_read += 1;
        calls.versions_confirmed += u32::from(is_wanted);
    }

    /// Counts calls to the store of versions and streams.
    pub(crate) fn count_store_calls(&self, count: impl FnOnce(&mut StoreCalls)) {
        count(&mut self.state_mut().continuations.calls);
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
                let is_news = match register.get(*stream, now) {
                    Knowledge::Unknown => true,
                    Knowledge::Began(known) => known != *software,
                    Knowledge::Ambiguous => false,
                };
                if is_news {
                    register.note(*stream, pool, software, Source::Store, now);
                }
            }
        }
        info!(self.log(), "streams_read"; "shard" => %shard, "segments" => segments.len(),
            "streams" => streams);
        let journal = continuations.journals.entry(shard).or_default();
        journal.begin_after(&segments);
        let reading = continuations.readings.entry(shard).or_default();
        reading.is_wanted = false;
        reading.read_at = Some(now);
        self.shard_read.notify_waiters();
        // Records may have waited for the position of the journal.
        self.stream_records_due.notify_waiters();
    }

    /// Handles a failed reading of a shard's records. Streams that still wait for it ask for another one.
    pub(crate) fn note_shard_unread(&self, shard: Shard, failures: u32, error: &SourceError) {
        if failures.is_power_of_two() {
            warn!(self.log(), "streams_unread"; "shard" => %shard, "failures" => failures,
                "error" => %error);
        }
        let mut state = self.state_mut();
        let reading = state.continuations.readings.entry(shard).or_default();
        reading.is_wanted = false;
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
        let is_finding_readers = self.is_finding_readers(&state);
        let readers = self.shard_readers(&state, shard, now);
        if !state.continuations.versions.has_store || !readers.contains(&None) {
            return true;
        }
        let reading = state.continuations.readings.entry(shard).or_default();
        if reading.is_recent(now) && !reading.is_wanted {
            return true;
        }
        if is_finding_readers {
            return false;
        }
        let is_new = !std::mem::replace(&mut reading.is_wanted, true);
        state.continuations.calls.shards_wanted += u32::from(is_new);
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
            if self.is_finding_readers(&self.state()) {
                sleep(READER_CHECK_INTERVAL).await;
                continue;
            }
            read.await;
        }
    }

    fn is_finding_readers(&self, state: &GatewayState) -> bool {
        self.uptime() < READER_DISCOVERY_TIME && !state.peers.has_heard_all_known()
    }

    /// The next segment of a shard to be written, and the revision that it replaces.
    pub(crate) fn next_segment(&self, shard: Shard) -> Option<SegmentWrite> {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let journal = state.continuations.journals.get_mut(&shard)?;
        journal.begin_write(now)
    }

    /// Handles a segment that the store has taken.
    pub(crate) fn note_segment_written(&self, shard: Shard, write: &SegmentWrite, revision: u64) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let journal = state.continuations.journals.entry(shard).or_default();
        journal.end_write(write.number, revision);
        let unwritten = journal.unwritten();
        drop(state);
        if let Some(left_out) = self.continuation_sampler().admit(now) {
            info!(self.log(), "streams_recorded"; "shard" => %shard, "segment" => write.segment.index,
                "streams" => write.segment.streams.len(), "unwritten" => unwritten,
                "revision" => revision, "left_out" => left_out);
        }
    }

    /// Handles a segment that another node has written since.
    pub(crate) fn note_segment_conflict(
        &self,
        shard: Shard,
        write: &SegmentWrite,
        found: Option<StoredSegment>,
    ) {
        info!(self.log(), "stream_record_conflict"; "shard" => %shard,
            "streams" => found.as_ref().map(|found| found.segment.streams.len()));
        let mut state = self.state_mut();
        let journal = state.continuations.journals.entry(shard).or_default();
        journal.resolve_conflict(write.number, found);
    }

    /// Handles a segment that the store has not acknowledged.
    pub(crate) fn note_segment_unwritten(&self, shard: Shard, write: &SegmentWrite) {
        let mut state = self.state_mut();
        let journal = state.continuations.journals.entry(shard).or_default();
        journal.fail_write(write.number);
        // What the store holds is read.
        self.stream_records_due.notify_waiters();
    }

    /// Schedules what a store that came back from a copy may lack: the streams that this node has written lately, and those
    /// that it knows of the shards that it writes.
    pub(super) fn rewrite_stream_records(&self, state: &mut GatewayState, now: Timestamp) {
        for journal in state.continuations.journals.values_mut() {
            journal.rewrite(now);
        }
        let written: Vec<_> = Shard::all()
            .filter(|shard| self.shard_readers(state, *shard, now).first() == Some(&None))
            .collect();
        let known = state.continuations.register.since(STORED_RETENTION, now);
        let known = known.filter(|(stream, pool, _)| {
            written.contains(&stream.shard()) && needs_stream_records(state, pool, now)
        });
        let known: Vec<_> = known
            .map(|(stream, pool, software)| {
                let (pool, software) = (pool.clone(), software.clone());
                (stream, Entry { pool, software })
            })
            .collect();
        let streams = known.len();
        for (stream, entry) in known {
            let journals = &mut state.continuations.journals;
            let journal = journals.entry(stream.shard()).or_default();
            journal.note(stream, entry, now);
        }
        info!(self.log(), "streams_written_again"; "shards" => written.len(), "streams" => streams);
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
        let own = (self.own_name_hash(), None);
        let peers = state.peers.alive(now);
        let peers = peers.map(|peer| (name_hash(peer), Some(peer.identity.peer_address)));
        first_of_shard(shard, peers.chain([own]), SHARD_READERS)
    }

    pub(super) fn own_name_hash(&self) -> u64 {
        hash_of_name(&self.settings().identity.name)
    }
}

/// Hash of a node's name, by which it is ranked.
pub(super) fn name_hash(peer: &Peer) -> u64 {
    hash_of_name(&peer.identity.name)
}

/// The same for a node of which only the name is known.
pub(super) fn hash_of_name(name: &NodeName) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}

/// Whether the versions of a pool's streams are kept: several versions may have streams under way, or would be taken for
/// it after a restart.
pub(super) fn needs_stream_records(state: &GatewayState, pool: &PoolName, now: Timestamp) -> bool {
    let continuations = &state.continuations;
    continuations.history.is_mixed(pool, now) || continuations.versions.is_mixed(pool)
}
