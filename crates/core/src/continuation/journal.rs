//! The records of a shard's streams that a node writes to the store.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::StreamId;
use crate::Timestamp;
use crate::identity::PoolName;
use crate::release::SoftwareVersion;

/// How long a stored record is kept. Callers come back for a stream within its deadline.
pub const STORED_RETENTION: Duration = Duration::from_secs(30);
/// Number of segments of a shard. A shard that many streams belong to overwrites the oldest one.
pub const SEGMENTS: u8 = 32;
/// Maximum number of streams in a segment, which is written as a whole.
pub const MAX_SEGMENT_STREAMS: usize = 1_024;
/// Maximum number of streams that wait to be written, while the store takes none; beyond it the oldest are dropped.
const MAX_UNWRITTEN: usize = 8_192;

/// The version of a stream in a pool.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entry {
    /// The pool.
    pub pool: PoolName,
    /// The version that began the stream.
    pub software: SoftwareVersion,
}

/// One object of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// Its position in the shard.
    pub index: u8,
    /// Streams and their versions. An id that was used for streams of several versions stands here with each of them.
    pub streams: BTreeSet<(StreamId, Entry)>,
}

/// A segment as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredSegment {
    /// What it holds.
    pub segment: Segment,
    /// Revision of its last change.
    pub revision: u64,
}

/// The records of a shard's streams that a node writes to the store, one segment after the other.
#[derive(Debug, Default)]
pub struct Journal {
    /// Position of the segment that is written.
    index: u8,
    /// Streams that the store holds in this segment, in order of time.
    stored: VecDeque<(Timestamp, StreamId, Entry)>,
    /// Streams that it does not hold yet.
    unwritten: VecDeque<(Timestamp, StreamId, Entry)>,
    /// How many of these are being written.
    in_writing: usize,
    /// Revisions of the segments, as far as known.
    revisions: BTreeMap<u8, u64>,
    /// Whether it is known which segments the store holds.
    has_position: bool,
}

impl Journal {
    /// Schedules the version of a stream to be written.
    pub fn note(&mut self, stream: StreamId, entry: Entry, now: Timestamp) {
        let waiting = self.stored.iter().chain(&self.unwritten).rev();
        if waiting
            .take(MAX_SEGMENT_STREAMS)
            .any(|(_, known, began)| *known == stream && *began == entry)
        {
            return;
        }
        self.unwritten.push_back((now, stream, entry));
        if self.unwritten.len() - self.in_writing > MAX_UNWRITTEN {
            self.unwritten.remove(self.in_writing);
        }
    }

    /// Number of streams that wait to be written.
    pub fn unwritten(&self) -> usize {
        self.unwritten.len()
    }

    /// Whether records wait to be written, but it is not known yet in which segment.
    pub fn needs_position(&self) -> bool {
        !self.has_position && !self.unwritten.is_empty()
    }

    /// The segment that is to be written now, and the revision that it replaces; `None` if there is nothing to write.
    pub fn begin_write(&mut self, now: Timestamp) -> Option<(Segment, Option<u64>)> {
        if !self.has_position {
            return None;
        }
        if self.unwritten.is_empty() {
            return None;
        }
        let is_old = |at: Timestamp| now.since(at) >= STORED_RETENTION;
        while self.stored.front().is_some_and(|(at, ..)| is_old(*at)) {
            self.stored.pop_front();
        }
        if self.stored.len() + self.unwritten.len() > MAX_SEGMENT_STREAMS && !self.stored.is_empty()
        {
            self.index = self.next_index();
            self.stored.clear();
        }
        self.in_writing = self.unwritten.len().min(MAX_SEGMENT_STREAMS);
        let written = self.unwritten.iter().take(self.in_writing);
        let streams = self.stored.iter().chain(written);
        let segment = Segment {
            index: self.index,
            streams: streams.map(|(_, id, entry)| (*id, entry.clone())).collect(),
        };
        Some((segment, self.revisions.get(&self.index).copied()))
    }

    /// Handles a segment that the store took.
    pub fn end_write(&mut self, revision: u64) {
        self.revisions.insert(self.index, revision);
        let in_writing = std::mem::take(&mut self.in_writing);
        self.stored.extend(self.unwritten.drain(..in_writing));
    }

    /// Handles a write that was not acknowledged; the same streams are written again.
    pub fn fail_write(&mut self) {
        self.in_writing = 0;
    }

    /// Handles a segment that another node has written since, or that is gone. Another writer keeps its segment; where the
    /// store does not tell what it holds, it has to be read first.
    pub fn resolve_conflict(&mut self, found: Option<StoredSegment>) {
        self.in_writing = 0;
        match found {
            None => {
                self.revisions.remove(&self.index);
                self.has_position = false;
            }
            Some(found) => {
                self.revisions.insert(self.index, found.revision);
                self.index = self.next_index();
            }
        }
    }

    /// Begins after the segments that the store holds, as a node does that has just become a writer of the shard.
    pub fn begin_after(&mut self, found: &[StoredSegment]) {
        if self.has_position {
            return;
        }
        self.has_position = true;
        let revisions = found.iter();
        let revisions = revisions.map(|found| (found.segment.index, found.revision));
        self.revisions = revisions.collect();
        let newest = self.revisions.iter().max_by_key(|(_, revision)| **revision);
        if let Some((newest, _)) = newest {
            self.index = *newest;
            self.index = self.next_index();
        }
    }

    /// The next segment that is not known to hold anything, else the one that was written the longest ago.
    fn next_index(&self) -> u8 {
        let mut following = (1..=SEGMENTS).map(|step| (self.index + step) % SEGMENTS);
        let oldest = self.revisions.iter().min_by_key(|(_, revision)| **revision);
        following
            .find(|index| !self.revisions.contains_key(index))
            .or(oldest.map(|(index, _)| *index))
            .unwrap_or_default()
    }
}
