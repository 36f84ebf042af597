//! What a node knows of the records of requests that are held back.

use std::collections::{BTreeMap, VecDeque};

use ryerouter_core::Timestamp;
use ryerouter_core::poison::Digest;

use super::ReadProgress;

/// The record of one request.
#[derive(Debug, Default)]
struct Entry {
    /// Its revision in the store, as far as this node knows.
    revision: Option<u64>,
    /// Whether the store holds one, at whatever revision.
    is_stored: bool,
    /// When this node writes what it knows.
    due_at: Option<Timestamp>,
    /// Whether it is being written; what is found out meanwhile is due again.
    is_being_written: bool,
}

/// What a node knows of the records of requests that are held back.
#[derive(Debug, Default)]
pub struct RecordTable {
    /// Whether there is a store that keeps them.
    pub has_store: bool,
    /// How far they have been read.
    pub read_progress: ReadProgress,
    /// When a request first had to wait for the reading.
    pub requested_at: Option<Timestamp>,
    entries: BTreeMap<Digest, Entry>,
    /// Records of requests that are forgotten, and their revisions.
    removals: VecDeque<(Digest, u64)>,
}

impl RecordTable {
    /// Revision of a record in the store, as far as this node knows.
    pub fn revision(&self, digest: Digest) -> Option<u64> {
        self.entries.get(&digest)?.revision
    }

    /// Whether the store holds a record, as far as this node knows.
    pub fn is_stored(&self, digest: Digest) -> bool {
        let entry = self.entries.get(&digest);
        entry.is_some_and(|entry| entry.is_stored || entry.revision.is_some())
    }

    /// Another node has written a record, or is about to.
    pub fn note_stored(&mut self, digest: Digest) {
        if self.has_store {
            self.entries.entry(digest).or_default().is_stored = true;
        }
    }

    /// What is known of a request is to be written, at this time at the latest.
    pub fn schedule_write(&mut self, digest: Digest, at: Timestamp) {
        if !self.has_store {
            return;
        }
        let due_at = &mut self.entries.entry(digest).or_default().due_at;
        *due_at = Some(due_at.map_or(at, |due_at| due_at.min(at)));
    }

    /// What is known of a request is written now.
    pub fn begin_write(&mut self, digest: Digest) {
        let entry = self.entries.entry(digest).or_default();
        entry.due_at = None;
        entry.is_being_written = true;
    }

    /// The store has answered, or will not; it holds this revision now, as far as this node knows.
    pub fn end_write(&mut self, digest: Digest, revision: Option<u64>) {
        if let Some(entry) = self.entries.get_mut(&digest) {
            entry.revision = revision;
            entry.is_being_written = false;
        }
    }

    /// The store holds what this node knows.
    pub fn cancel_write(&mut self, digest: Digest) {
        if let Some(entry) = self.entries.get_mut(&digest) {
            entry.due_at = None;
        }
    }

    /// Whether this node has something to write of a request.
    pub fn has_pending_write(&self, digest: Digest) -> bool {
        let entry = self.entries.get(&digest);
        entry.is_some_and(|entry| entry.due_at.is_some() || entry.is_being_written)
    }

    /// The store holds a record at this revision.
    pub fn note_revision(&mut self, digest: Digest, revision: u64) {
        self.entries.entry(digest).or_default().revision = Some(revision);
    }

    /// Nothing is known of a request any more; tells the revision of its record.
    pub fn forget(&mut self, digest: Digest) -> Option<u64> {
        self.entries.remove(&digest)?.revision
    }

    /// A record is to be removed.
    pub fn schedule_removal(&mut self, digest: Digest, revision: u64) {
        self.removals.push_back((digest, revision));
    }

    /// A record that is to be removed.
    pub fn next_removal(&mut self) -> Option<(Digest, u64)> {
        self.removals.pop_front()
    }

    /// What is to be written first, and when.
    pub fn next_write(&self) -> Option<(Digest, Timestamp)> {
        let due = self.entries.iter();
        let due = due.filter_map(|(digest, entry)| Some((*digest, entry.due_at?)));
        due.min_by_key(|(_, at)| *at)
    }
}
