//! What a node knows about the stored crash histories.

use std::collections::{BTreeMap, VecDeque};

use ryerouter_core::Timestamp;
use ryerouter_core::poison::Digest;

use super::ReadProgress;

/// What is known about the record of one request.
#[derive(Debug, Default)]
struct Entry {
    /// Its revision in the store, if known.
    revision: Option<u64>,
    /// Whether the store holds a record, at an unknown revision.
    is_stored: bool,
    /// When this node writes its history of the request; `None` if nothing is to be written.
    due_at: Option<Timestamp>,
    /// Whether a write is in progress. Changes during the write are scheduled for another one.
    is_being_written: bool,
}

/// What a node knows about the stored crash histories, and what it has to write to the store or remove from it.
#[derive(Debug, Default)]
pub struct RecordTable {
    /// Whether there is a store. Without one nothing is scheduled.
    pub has_store: bool,
    /// How much of the stored records has been read.
    pub read_progress: ReadProgress,
    /// When a request first had to wait for records to be read.
    pub requested_at: Option<Timestamp>,
    entries: BTreeMap<Digest, Entry>,
    /// Records that are to be removed from the store, with their revisions.
    removals: VecDeque<(Digest, u64)>,
}

impl RecordTable {
    /// Revision of a request's record in the store, if known.
    pub fn revision(&self, digest: Digest) -> Option<u64> {
        self.entries.get(&digest)?.revision
    }

    /// Whether the store is known to hold a record of a request.
    pub fn is_stored(&self, digest: Digest) -> bool {
        let entry = self.entries.get(&digest);
        entry.is_some_and(|entry| entry.is_stored || entry.revision.is_some())
    }

    /// Forgets the revisions of all records; returns the requests that have one, as far as known.
    pub fn forget_revisions(&mut self) -> Vec<Digest> {
        let stored = |entry: &Entry| entry.is_stored || entry.revision.is_some();
        let entries = self.entries.iter_mut().filter(|(_, entry)| stored(entry));
        let forgotten = entries.map(|(digest, entry)| {
            entry.revision = None;
            entry.is_stored = true;
            *digest
        });
        forgotten.collect()
    }

    /// Notes that another node has written a record of a request, or is about to.
    pub fn note_stored(&mut self, digest: Digest) {
        if self.has_store {
            self.entries.entry(digest).or_default().is_stored = true;
        }
    }

    /// Schedules the history of a request to be written no later than at `at`.
    pub fn schedule_write(&mut self, digest: Digest, at: Timestamp) {
        if !self.has_store {
            return;
        }
        let due_at = &mut self.entries.entry(digest).or_default().due_at;
        *due_at = Some(due_at.map_or(at, |due_at| due_at.min(at)));
    }

    /// Marks the write of a request's history as started.
    pub fn begin_write(&mut self, digest: Digest) {
        let entry = self.entries.entry(digest).or_default();
        entry.due_at = None;
        entry.is_being_written = true;
    }

    /// Marks the write as finished, whether it succeeded or not; the store holds this revision now, if known.
    pub fn end_write(&mut self, digest: Digest, revision: Option<u64>) {
        if let Some(entry) = self.entries.get_mut(&digest) {
            entry.revision = revision;
            entry.is_being_written = false;
        }
    }

    /// Cancels the scheduled write of a history that the store already holds, or that need not be stored.
    pub fn cancel_write(&mut self, digest: Digest) {
        if let Some(entry) = self.entries.get_mut(&digest) {
            entry.due_at = None;
        }
    }

    /// Whether a write of a request's history is scheduled or in progress.
    pub fn has_pending_write(&self, digest: Digest) -> bool {
        let entry = self.entries.get(&digest);
        entry.is_some_and(|entry| entry.due_at.is_some() || entry.is_being_written)
    }

    /// Notes that the store holds a record at this revision.
    pub fn note_revision(&mut self, digest: Digest, revision: u64) {
        self.entries.entry(digest).or_default().revision = Some(revision);
    }

    /// Removes the entry of a request, and returns the revision of its record, if known.
    pub fn forget(&mut self, digest: Digest) -> Option<u64> {
        self.entries.remove(&digest)?.revision
    }

    /// Schedules a record to be removed from the store.
    pub fn schedule_removal(&mut self, digest: Digest, revision: u64) {
        self.removals.push_back((digest, revision));
    }

    /// Takes the next record that is to be removed from the store.
    pub fn next_removal(&mut self) -> Option<(Digest, u64)> {
        self.removals.pop_front()
    }

    /// The request whose history is to be written first, and when.
    pub fn next_write(&self) -> Option<(Digest, Timestamp)> {
        let due = self.entries.iter();
        let due = due.filter_map(|(digest, entry)| Some((*digest, entry.due_at?)));
        due.min_by_key(|(_, at)| *at)
    }
}
