//! What this node reads of the records of requests that are held back, and what it has to write; see
//! docs/design/poison.md.

use std::time::{Duration, SystemTime};

use rand::Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::poison::{Digest, History};
use slog::{info, warn};

use super::{Gateway, GatewayState, PEER_DISCOVERY_TIME};
use crate::poison::{Reading, Record};
use crate::serve::AcceptedRequest;
use crate::source::{Consistency, StoredRecord};

/// A request is not held for longer until the records are read: the store may be away for long, while others have told
/// this node all that it needs to serve.
const RECORDS_READ_TIMEOUT: Duration = Duration::from_millis(500);
/// A trial is not held for longer until the store has taken that it begins.
const RECORD_WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// The node that has seen an end writes it at once. Others do so when they have not heard for so long that it is written.
const BACKUP_WRITE_DELAY: Duration = Duration::from_secs(2);
/// They spread over so long for each node that they know, since all of them miss the same one.
const BACKUP_WRITE_JITTER_PER_NODE: Duration = Duration::from_millis(50);
/// A request that is not held back yet is written when no good end has cleared it for so long.
const SUSPECT_WRITE_DELAY: Duration = Duration::from_secs(1);
/// So many nodes at about the same time try to remove a record that all have forgotten, however many there are.
const EXPECTED_REMOVING_NODES: f64 = 3.0;

impl Gateway {
    /// From now on requests wait until the records of those that are held back have been read.
    pub(crate) fn expect_poison_records(&self) {
        let records = &mut self.state_mut().poison_records;
        records.are_kept = true;
        records.reading = Reading::Unread;
    }

    /// Waits until a request that is held back is known to be. Where engines have ended under it already, what was
    /// recorded in the last seconds matters as well. `false` when it can't be told.
    pub(crate) async fn wait_for_poison_records(&self, request: &AcceptedRequest) -> bool {
        let wanted = match self.state().poison_records.reading {
            Reading::Current => return true,
            Reading::Stale if !self.is_suspect(request) => return true,
            Reading::Stale => Reading::Current,
            Reading::Unread => Reading::Stale,
        };
        let now = self.clock().now();
        let wanted_at = *self.state_mut().poison_records.wanted_at.get_or_insert(now);
        self.poison_records_wanted.notify_one();
        let limit = wanted_at.after(RECORDS_READ_TIMEOUT);
        let read = self.poison_records_read(wanted);
        self.clock().until(limit, read).await.is_some()
    }

    async fn poison_records_read(&self, wanted: Reading) {
        loop {
            let read = self.poison_records_changed.notified();
            if self.state().poison_records.reading >= wanted {
                return;
            }
            read.await;
        }
    }

    /// Whether engines have ended under a request, and no run of it has come to a good end since.
    fn is_suspect(&self, request: &AcceptedRequest) -> bool {
        let state = self.state();
        let has_ends = |history: &History| !history.crashes.is_empty();
        !state.poison.is_empty() && state.poison.get(request.digest()).is_some_and(has_ends)
    }

    /// Whether a request may have been held back before this node started, by what it has seen since. What it can't read by
    /// the time at which it knows the others, these have told it.
    pub(crate) fn may_be_held_back(&self, request: &AcceptedRequest) -> bool {
        self.uptime() < PEER_DISCOVERY_TIME && self.is_suspect(request)
    }

    /// Whether what was recorded in the last seconds is to be read.
    pub(crate) fn wants_current_records(&self) -> bool {
        let records = &self.state().poison_records;
        records.reading != Reading::Current && records.wanted_at.is_some()
    }

    /// Takes all records.
    pub(crate) fn take_poison_records(&self, stored: Vec<StoredRecord>, consistency: Consistency) {
        let (now, time) = (self.clock().now(), SystemTime::now());
        let count = stored.len();
        for stored in stored {
            self.take_poison_record(stored, now, time);
        }
        let mut state = self.state_mut();
        let held_back = state.poison.convicted().count();
        let records = &mut state.poison_records;
        records.reading = match consistency {
            Consistency::Linearizable => Reading::Current,
            Consistency::Stale => Reading::Stale,
        };
        records.wanted_at = None;
        info!(self.log(), "poison_records_read"; "records" => count, "held_back" => held_back,
            "is_stale" => consistency == Consistency::Stale,
            "uptime_ms" => self.uptime().as_millis() as u64);
        self.poison_records_changed.notify_waiters();
        // Some of them may be outdated.
        self.poison_records_due.notify_one();
    }

    fn take_poison_record(&self, stored: StoredRecord, now: Timestamp, time: SystemTime) {
        let digest = stored.record.digest();
        let stored_history = stored.record.history(now, time);
        let is_chosen = self.is_removing_records();
        let mut state = self.state_mut();
        if stored_history.is_over(now) {
            if is_chosen {
                state.poison_records.remove_later(digest, stored.revision);
            }
            return;
        }
        state.poison.merge(digest, &stored_history, now);
        state.poison_records.note_revision(digest, stored.revision);
        cancel_write_unless_newer(&mut state, digest, &stored_history);
    }

    /// What this node has seen of a request is new, and nodes that start when all have gone must know it.
    pub(super) fn schedule_poison_write(&self, digest: Digest) {
        let now = self.clock().now();
        self.state_mut().poison_records.write_by(digest, now);
        self.poison_records_due.notify_one();
    }

    /// The same for a request that one more end would hold back. Most are popular ones beside another, and are cleared before.
    pub(super) fn schedule_suspect_write(&self, digest: Digest) {
        let at = self.clock().now().after(SUSPECT_WRITE_DELAY);
        self.state_mut().poison_records.write_by(digest, at);
        self.poison_records_due.notify_one();
    }

    /// The same when another node has seen it, which writes it first.
    pub(super) fn schedule_delayed_poison_write(
        &self,
        state: &mut GatewayState,
        digest: Digest,
        now: Timestamp,
    ) {
        let spread = BACKUP_WRITE_JITTER_PER_NODE * state.peers.known_count() as u32;
        let after = BACKUP_WRITE_DELAY + spread.mul_f64(rand::rng().random());
        state.poison_records.write_by(digest, now.after(after));
        self.poison_records_due.notify_one();
    }

    /// The record that is to be written now, with the revision that it replaces; or when the next one is.
    pub(crate) fn next_poison_record(&self) -> Result<(Record, Option<u64>), Option<Timestamp>> {
        let now = self.clock().now();
        let mut state = self.state_mut();
        while let Some((digest, at)) = state.poison_records.next() {
            if at > now {
                return Err(Some(at));
            }
            let Some(history) = state.poison.get(digest) else {
                // Forgotten meanwhile.
                state.poison_records.forget(digest);
                continue;
            };
            if !history.is_nearly_convicted() && !state.poison_records.is_held(digest) {
                // A good end has cleared it before it was written.
                state.poison_records.settle(digest);
                continue;
            }
            let record = Record::new(digest, history, now, SystemTime::now());
            let revision = state.poison_records.revision(digest);
            state.poison_records.begin_write(digest);
            return Ok((record, revision));
        }
        Err(None)
    }

    /// The store has taken a record.
    pub(crate) fn note_poison_written(&self, record: &Record, revision: u64) {
        let digest = record.digest();
        let written = record.history(self.clock().now(), SystemTime::now());
        let mut state = self.state_mut();
        state.poison_records.end_write(digest, Some(revision));
        drop(state);
        info!(self.log(), "poison_recorded"; "digest" => %digest, "revision" => revision,
            "ends" => written.crashes.len(), "trials" => written.trials,
            "held_back" => written.is_convicted());
        self.poison_records_changed.notify_waiters();
        self.announce_poison(digest);
    }

    /// Another node was faster: what it wrote is taken in, and what it lacks is written next.
    pub(crate) fn note_poison_conflict(&self, digest: Digest, stored: Option<StoredRecord>) {
        let (now, time) = (self.clock().now(), SystemTime::now());
        let mut state = self.state_mut();
        let revision = stored.as_ref().map(|stored| stored.revision);
        let theirs = stored.map(|stored| stored.record.history(now, time));
        let theirs = theirs.unwrap_or_default();
        state.poison_records.end_write(digest, revision);
        state.poison.merge(digest, &theirs, now);
        let own = state.poison.get(digest);
        let is_newer = own.is_some_and(|own| own.exceeds(&theirs));
        if is_newer {
            state.poison_records.write_by(digest, now);
        }
        drop(state);
        info!(self.log(), "poison_record_conflict"; "digest" => %digest, "revision" => revision,
            "ends" => theirs.crashes.len(), "writes_again" => is_newer);
        self.poison_records_changed.notify_waiters();
    }

    /// The store did not take a record: it is written again then, if it may be taken at all.
    pub(crate) fn note_poison_unwritten(
        &self,
        digest: Digest,
        revision: Option<u64>,
        again_at: Option<Timestamp>,
    ) {
        let records = &mut self.state_mut().poison_records;
        records.end_write(digest, revision);
        if let Some(at) = again_at {
            records.write_by(digest, at);
        }
    }

    /// Waits for a moment until the store has taken what this node knows of a request.
    pub(crate) async fn wait_for_poison_write(&self, digest: Digest) {
        let limit = self.clock().now().after(RECORD_WRITE_TIMEOUT);
        let written = async {
            loop {
                let changed = self.poison_records_changed.notified();
                if !self.state().poison_records.is_unsettled(digest) {
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

    /// Forgets requests whose ends are long ago, and their records.
    pub fn expire_poison(&self) {
        let now = self.clock().now();
        let is_chosen = self.is_removing_records();
        let mut state = self.state_mut();
        for digest in state.poison.forget(now) {
            let revision = state.poison_records.forget(digest);
            if let Some(revision) = revision.filter(|_| is_chosen) {
                state.poison_records.remove_later(digest, revision);
                self.poison_records_due.notify_one();
            }
        }
    }

    /// All nodes forget at about the same time, and each removal is a call to the store.
    fn is_removing_records(&self) -> bool {
        let nodes = self.state().peers.known_count() + 1;
        rand::rng().random_bool((EXPECTED_REMOVING_NODES / nodes as f64).min(1.0))
    }
}

/// Nothing is left to write where the store holds all that this node knows.
pub(super) fn cancel_write_unless_newer(state: &mut GatewayState, digest: Digest, held: &History) {
    let own = state.poison.get(digest);
    if own.is_none_or(|own| !own.exceeds(held)) {
        state.poison_records.settle(digest);
    }
}
