//! Reads the stored records of blocked requests and determines what to write; see
//! docs/design/poison.md.

use std::time::{Duration, SystemTime};

use rand::Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::poison::{Digest, History};
use slog::{info, warn};

use super::{Gateway, GatewayState, PEER_DISCOVERY_TIME};
use crate::poison::{ReadProgress, Record};
use crate::serve::AcceptedRequest;
use crate::source::{Consistency, StoredRecord};

/// Maximum time that a request waits for the records to be read: the store may be unavailable for
/// long, while other nodes have already reported all that is needed to serve.
const RECORDS_READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time that a trial waits for the store to record its start.
const RECORD_WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// The node that observed a crash writes it at once. Another node writes it if no node has reported
/// within this time that it is recorded.
const BACKUP_WRITE_DELAY: Duration = Duration::from_secs(2);
/// Backup writes are spread over a period of this length times the number of known nodes, since all
/// nodes miss the same report.
const BACKUP_WRITE_JITTER_PER_NODE: Duration = Duration::from_millis(50);
/// A request that is not blocked yet is recorded when no successful run has cleared it within this
/// time.
const SUSPECT_WRITE_DELAY: Duration = Duration::from_millis(100);
/// Expected number of nodes that remove an expired record, whatever the size of the deployment: all
/// nodes let it expire at about the same time.
const EXPECTED_REMOVING_NODES: f64 = 3.0;

impl Gateway {
    /// Makes requests wait from now on until the records of blocked requests have been read.
    pub(crate) fn expect_poison_records(&self) {
        let records = &mut self.state_mut().poison_records;
        records.has_store = true;
        records.read_progress = ReadProgress::Unread;
    }

    /// Waits until the records have been read that show whether a request is blocked. They may lack
    /// those written within the last seconds, except for a request under which engines have already
    /// crashed. Returns `false` when the records could not be read in time.
    pub(crate) async fn wait_for_poison_records(&self, request: &AcceptedRequest) -> bool {
        let wanted = match self.state().poison_records.read_progress {
            ReadProgress::Current => return true,
            ReadProgress::Stale if !self.is_suspect(request) => return true,
            ReadProgress::Stale => ReadProgress::Current,
            ReadProgress::Unread => ReadProgress::Stale,
        };
        let now = self.clock().now();
        let requested_at = *self
            .state_mut()
            .poison_records
            .requested_at
            .get_or_insert(now);
        self.poison_records_requested.notify_one();
        let limit = requested_at.after(RECORDS_READ_TIMEOUT);
        let read = self.poison_records_read(wanted);
        self.clock().until(limit, read).await.is_some()
    }

    async fn poison_records_read(&self, wanted: ReadProgress) {
        loop {
            let read = self.poison_records_changed.notified();
            if self.state().poison_records.read_progress >= wanted {
                return;
            }
            read.await;
        }
    }

    /// Whether engines have crashed under a request without a successful run since.
    fn is_suspect(&self, request: &AcceptedRequest) -> bool {
        let state = self.state();
        let has_crashes = |history: &History| !history.crashes.is_empty();
        let is_known = |digest| state.poison.get(digest).is_some_and(has_crashes);
        !state.poison.is_empty() && request.suspects().into_iter().any(is_known)
    }

    /// Whether a request may have been blocked before this node started, judged by the crashes
    /// observed since. By the end of the discovery time the other nodes have reported the records
    /// that this node could not read.
    pub(crate) fn may_be_blocked(&self, request: &AcceptedRequest) -> bool {
        self.uptime() < PEER_DISCOVERY_TIME && self.is_suspect(request)
    }

    /// Whether a request waits for the records written within the last seconds.
    pub(crate) fn wants_current_records(&self) -> bool {
        let records = &self.state().poison_records;
        records.read_progress != ReadProgress::Current && records.requested_at.is_some()
    }

    /// Applies the complete list of records.
    pub(crate) fn apply_poison_records(&self, stored: Vec<StoredRecord>, consistency: Consistency) {
        let (now, time) = (self.clock().now(), SystemTime::now());
        let count = stored.len();
        for stored in stored {
            self.apply_poison_record(stored, now, time);
        }
        let mut state = self.state_mut();
        let blocked = state.poison.blocked().count();
        let records = &mut state.poison_records;
        records.read_progress = match consistency {
            Consistency::Linearizable => ReadProgress::Current,
            Consistency::Stale => ReadProgress::Stale,
        };
        records.requested_at = None;
        info!(self.log(), "poison_records_read"; "records" => count, "held_back" => blocked,
            "is_stale" => consistency == Consistency::Stale,
            "uptime_ms" => self.uptime().as_millis() as u64);
        self.poison_records_changed.notify_waiters();
        // Some of the records may have expired and be due for removal.
        self.poison_records_due.notify_one();
    }

    fn apply_poison_record(&self, stored: StoredRecord, now: Timestamp, time: SystemTime) {
        let digest = stored.record.digest();
        let stored_history = stored.record.history(now, time);
        let removes_expired = self.removes_expired_records();
        let mut state = self.state_mut();
        if stored_history.is_expired(now) {
            if removes_expired {
                state
                    .poison_records
                    .schedule_removal(digest, stored.revision);
            }
            return;
        }
        state.poison.merge(digest, &stored_history, now);
        state.poison_records.note_revision(digest, stored.revision);
        cancel_write_unless_newer(&mut state, digest, &stored_history);
    }

    /// Schedules writing a request's record at once: this node's knowledge is new, and nodes that
    /// start after all current ones have stopped depend on it.
    pub(super) fn schedule_poison_write(&self, digest: Digest) {
        let now = self.clock().now();
        self.state_mut().poison_records.schedule_write(digest, now);
        self.poison_records_due.notify_one();
    }

    /// Writes all records again, after the source has come back from a copy that may lack them or hold older ones. A few
    /// nodes do so at once, the others unless they hear that it is done.
    pub(super) fn rewrite_poison_records(&self, state: &mut GatewayState, now: Timestamp) {
        let is_first = self.is_drawn_among(state);
        for digest in state.poison_records.forget_revisions() {
            match is_first {
                true => state.poison_records.schedule_write(digest, now),
                false => self.schedule_delayed_poison_write(state, digest, now),
            }
        }
        self.poison_records_due.notify_one();
    }

    /// Schedules writing the record of a request that one more crash would block. The write is
    /// delayed because most of these are popular requests that ran beside the cause, and are
    /// cleared soon.
    pub(super) fn schedule_suspect_write(&self, digest: Digest) {
        let at = self.clock().now().after(SUSPECT_WRITE_DELAY);
        self.state_mut().poison_records.schedule_write(digest, at);
        self.poison_records_due.notify_one();
    }

    /// Schedules writing a record after a delay: the node that observed the crash writes it first.
    pub(super) fn schedule_delayed_poison_write(
        &self,
        state: &mut GatewayState,
        digest: Digest,
        now: Timestamp,
    ) {
        let spread = BACKUP_WRITE_JITTER_PER_NODE * state.peers.known_count() as u32;
        let after = BACKUP_WRITE_DELAY + spread.mul_f64(rand::rng().random());
        state
            .poison_records
            .schedule_write(digest, now.after(after));
        self.poison_records_due.notify_one();
    }

    /// The record to write now with the revision that it replaces, or the time when the next one is
    /// due.
    pub(crate) fn next_poison_record(&self) -> Result<(Record, Option<u64>), Option<Timestamp>> {
        let now = self.clock().now();
        let mut state = self.state_mut();
        while let Some((digest, at)) = state.poison_records.next_write() {
            if at > now {
                return Err(Some(at));
            }
            let Some(history) = state.poison.get(digest) else {
                // The history has expired meanwhile.
                state.poison_records.forget(digest);
                continue;
            };
            if !history.is_nearly_blocked() && !state.poison_records.is_stored(digest) {
                // A successful run has cleared the request before it was recorded.
                state.poison_records.cancel_write(digest);
                continue;
            }
            let record = Record::new(digest, history, now, SystemTime::now());
            let revision = state.poison_records.revision(digest);
            state.poison_records.begin_write(digest);
            return Ok((record, revision));
        }
        Err(None)
    }

    /// Handles a successful write of a record.
    pub(crate) fn note_poison_written(&self, record: &Record, revision: u64) {
        let digest = record.digest();
        let written = record.history(self.clock().now(), SystemTime::now());
        let mut state = self.state_mut();
        state.poison_records.end_write(digest, Some(revision));
        drop(state);
        info!(self.log(), "poison_recorded"; "digest" => %digest, "revision" => revision,
            "ends" => written.crashes.len(), "trials" => written.trials,
            "held_back" => written.is_blocked());
        self.poison_records_changed.notify_waiters();
        self.announce_poison(digest);
    }

    /// Handles a write that lost against another node's: merges the stored record, and schedules
    /// another write if it lacks any of this node's knowledge.
    pub(crate) fn note_poison_conflict(&self, digest: Digest, stored: Option<StoredRecord>) {
        let (now, time) = (self.clock().now(), SystemTime::now());
        let mut state = self.state_mut();
        let revision = stored.as_ref().map(|stored| stored.revision);
        let theirs = stored.map(|stored| stored.record.history(now, time));
        let theirs = theirs.unwrap_or_default();
        state.poison_records.end_write(digest, revision);
        state.poison.merge(digest, &theirs, now);
        let own = state.poison.get(digest);
        let is_newer = own.is_some_and(|own| own.has_updates_for(&theirs));
        if is_newer {
            state.poison_records.schedule_write(digest, now);
        }
        drop(state);
        info!(self.log(), "poison_record_conflict"; "digest" => %digest, "revision" => revision,
            "ends" => theirs.crashes.len(), "writes_again" => is_newer);
        self.poison_records_changed.notify_waiters();
    }

    /// Handles a failed write; it is retried at `retry_at`, or not at all if that is `None`.
    pub(crate) fn note_poison_write_failed(
        &self,
        digest: Digest,
        revision: Option<u64>,
        retry_at: Option<Timestamp>,
    ) {
        let records = &mut self.state_mut().poison_records;
        records.end_write(digest, revision);
        if let Some(at) = retry_at {
            records.schedule_write(digest, at);
        }
    }

    /// Waits, for a limited time, until the store holds what this node knows of a request.
    pub(crate) async fn wait_for_poison_write(&self, digest: Digest) {
        let limit = self.clock().now().after(RECORD_WRITE_TIMEOUT);
        let written = async {
            loop {
                let changed = self.poison_records_changed.notified();
                if !self.state().poison_records.has_pending_write(digest) {
                    return;
                }
                changed.await;
            }
        };
        if self.clock().until(limit, written).await.is_none() {
            warn!(self.log(), "poison_record_late"; "digest" => %digest,
                "waited_ms" => RECORD_WRITE_TIMEOUT.as_millis() as u64);
        }
    }

    /// Drops requests whose last crash is long ago; removes their records as well if this node is
    /// one of the few that do so.
    pub fn expire_poison(&self) {
        let now = self.clock().now();
        let removes_expired = self.removes_expired_records();
        let mut state = self.state_mut();
        for digest in state.poison.forget(now) {
            let revision = state.poison_records.forget(digest);
            if let Some(revision) = revision.filter(|_| removes_expired) {
                state.poison_records.schedule_removal(digest, revision);
                self.poison_records_due.notify_one();
            }
        }
    }

    /// Draws whether this node removes the records that have expired now. All nodes let a record
    /// expire at about the same time and each removal is a request to the store, so only a few
    /// nodes, chosen at random, do so.
    fn removes_expired_records(&self) -> bool {
        self.is_drawn_among(&self.state())
    }

    fn is_drawn_among(&self, state: &GatewayState) -> bool {
        let nodes = state.peers.known_count() + 1;
        rand::rng().random_bool((EXPECTED_REMOVING_NODES / nodes as f64).min(1.0))
    }
}

/// Cancels a scheduled write when the store already holds all that this node knows.
pub(super) fn cancel_write_unless_newer(
    state: &mut GatewayState,
    digest: Digest,
    stored: &History,
) {
    let own = state.poison.get(digest);
    if own.is_none_or(|own| !own.has_updates_for(stored)) {
        state.poison_records.cancel_write(digest);
    }
}
