//! The records of a shard's streams that a node writes to the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::StreamId;
use super::open_segment::{OpenSegment, WriteUnderWay};
use crate::Timestamp;
use crate::identity::PoolName;
use crate::release::SoftwareVersion;

/// How long a stored record is kept. Callers come back for a stream within its deadline.
pub const STORED_RETENTION: Duration = Duration::from_secs(30);
/// Number of segments of a shard. A shard that many streams belong to overwrites the oldest one.
pub const SEGMENTS: u8 = 32;
/// Maximum number of streams in a segment, which is written as a whole.
pub const MAX_SEGMENT_STREAMS: usize = 1_024;
/// Maximum number of writes that are under way, each of another segment.
pub const MAX_WRITES: usize = 4;
/// Time after which streams whose write has not ended are written once more, in another segment.
pub const REWRITE_DELAY: Duration = Duration::from_millis(250);
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

/// A write of a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentWrite {
    /// Tells it apart from other writes of its journal.
    pub number: u64,
    /// What is written.
    pub segment: Segment,
    /// The revision that it replaces, if the store holds the segment.
    pub replaces: Option<u64>,
}

/// When a stream was noted, and its version.
pub(super) type Noted = (Timestamp, StreamId, Entry);

/// The records of a shard's streams that a node writes to the store, a few segments at a time.
///
/// Until it has read which segments there are it makes new ones, at positions that are likely free; the store refuses to
/// make one that it holds.
///
/// A write holds all streams that the store has not acknowledged, also those of writes that are under way, as far as a
/// segment has room for them. So none waits for an earlier write, which may be slow or hang.
#[derive(Debug, Default)]
pub struct Journal {
    /// Segments that this node writes.
    open: Vec<OpenSegment>,
    /// Position after which the next segment is opened.
    last_index: u8,
    /// Streams that the store has not acknowledged, by the order in which they were noted.
    unwritten: BTreeMap<u64, Noted>,
    /// Number of streams noted so far.
    noted: u64,
    /// Number of writes begun so far.
    writes: u64,
    /// Revisions of the segments, as far as known.
    revisions: BTreeMap<u8, u64>,
    /// Whether it is known which segments the store holds.
    has_position: bool,
}

impl Journal {
    /// Schedules the version of a stream to be written.
    pub fn note(&mut self, stream: StreamId, entry: Entry, now: Timestamp) {
        if self.has_noted_lately(stream, &entry) {
            return;
        }
        self.insert(now, stream, entry);
        if self.unwritten.len() > MAX_UNWRITTEN {
            self.unwritten.pop_first();
        }
    }

    fn has_noted_lately(&self, stream: StreamId, entry: &Entry) -> bool {
        let unwritten = self.unwritten.values().rev();
        let stored = self.open.iter().flat_map(|open| {
            let stored = open.stored.iter().rev();
            stored.take(MAX_SEGMENT_STREAMS)
        });
        let mut noted = unwritten.take(MAX_SEGMENT_STREAMS).chain(stored);
        noted.any(|(_, known, began)| *known == stream && began == entry)
    }

    fn insert(&mut self, at: Timestamp, stream: StreamId, entry: Entry) {
        self.noted += 1;
        self.unwritten.insert(self.noted, (at, stream, entry));
    }

    /// Handles a return of the store from a copy, which may lack what it had taken: the streams are written again, in
    /// segments that are found anew.
    pub fn rewrite(&mut self, now: Timestamp) {
        let unwritten = std::mem::take(&mut self.unwritten);
        for open in std::mem::take(&mut self.open) {
            for (at, stream, entry) in open.stored {
                if now.since(at) < STORED_RETENTION {
                    self.insert(at, stream, entry);
                }
            }
        }
        for (at, stream, entry) in unwritten.into_values() {
            self.insert(at, stream, entry);
        }
        self.revisions.clear();
        self.has_position = false;
    }

    /// Number of streams that wait to be written.
    pub fn unwritten(&self) -> usize {
        self.unwritten.len()
    }

    /// Whether records wait to be written, but it is not known yet in which segment, or whether they have been.
    pub fn needs_position(&self) -> bool {
        let is_known = self.has_position && !self.has_unsettled();
        !is_known && !self.unwritten.is_empty()
    }

    fn has_unsettled(&self) -> bool {
        self.open.iter().any(|open| open.unsettled.is_some())
    }

    /// The segment that is to be written now; `None` if there is nothing to write, or too many writes are under way.
    pub fn begin_write(&mut self, now: Timestamp) -> Option<SegmentWrite> {
        if self.unwritten.is_empty() || !self.has_free_segment() {
            return None;
        }
        let added = self.due_streams(now)?;
        if !self.has_position && self.open.is_empty() {
            self.last_index = added.first().map_or(0, |(_, noted)| guessed_index(noted));
        }
        let position = self.free_segment();
        self.make_room(position, added.len(), now);
        self.writes += 1;
        let open = &mut self.open[position];
        let stored = open.stored.iter();
        let streams = stored.chain(added.iter().map(|(_, noted)| noted));
        let segment = Segment {
            index: open.index,
            streams: streams.map(|(_, id, entry)| (*id, entry.clone())).collect(),
        };
        open.write = Some(WriteUnderWay {
            number: self.writes,
            begun_at: now,
            added,
        });
        Some(SegmentWrite {
            number: self.writes,
            replaces: self.revisions.get(&segment.index).copied(),
            segment,
        })
    }

    /// The streams that the next write adds: all that the store has not acknowledged, or if these are too many, those
    /// that no write holds. `None` while writes that began lately hold all of them.
    fn due_streams(&self, now: Timestamp) -> Option<Vec<(u64, Noted)>> {
        let under_way = || self.open.iter().filter_map(|open| open.write.as_ref());
        let added = under_way().flat_map(|write| &write.added);
        let held: BTreeSet<u64> = added.map(|(number, _)| *number).collect();
        let last_begun_at = under_way().map(|write| write.begun_at).max();
        let is_late = last_begun_at.is_none_or(|at| now.since(at) >= REWRITE_DELAY);
        let is_held = self.unwritten.keys().all(|number| held.contains(number));
        if is_held && !is_late {
            return None;
        }
        let is_too_many = !is_held && self.unwritten.len() > MAX_SEGMENT_STREAMS;
        let due = self.unwritten.iter();
        let due = due.filter(|(number, _)| !is_too_many || !held.contains(number));
        let due = due.take(MAX_SEGMENT_STREAMS);
        Some(
            due.map(|(number, noted)| (*number, noted.clone()))
                .collect(),
        )
    }

    fn has_free_segment(&self) -> bool {
        self.open.len() < MAX_WRITES || self.open.iter().any(|open| open.write.is_none())
    }

    /// Position in `open` of a segment without a write under way; one without an answer to its last write is left for
    /// another one.
    fn free_segment(&mut self) -> usize {
        if let Some(free) = self.open.iter().position(OpenSegment::is_free) {
            return free;
        }
        if self.open.len() < MAX_WRITES {
            self.last_index = self.next_index(self.last_index);
            self.open.push(OpenSegment::new(self.last_index));
            return self.open.len() - 1;
        }
        let unsettled = self.open.iter().position(|open| open.write.is_none());
        let unsettled = unsettled.unwrap_or_default();
        self.open[unsettled].unsettled = None;
        self.move_on(unsettled);
        unsettled
    }

    /// Drops old streams of an open segment, or goes on to another one, so that it has room for more.
    fn make_room(&mut self, position: usize, added: usize, now: Timestamp) {
        let open = &mut self.open[position];
        let is_old = |at: Timestamp| now.since(at) >= STORED_RETENTION;
        while open.stored.front().is_some_and(|(at, ..)| is_old(*at)) {
            open.stored.pop_front();
        }
        if open.stored.len() + added > MAX_SEGMENT_STREAMS && !open.stored.is_empty() {
            open.stored.clear();
            self.move_on(position);
        }
    }

    /// Goes on with another segment in place of an open one.
    fn move_on(&mut self, position: usize) {
        let index = self.next_index(self.open[position].index);
        self.open[position].index = index;
        self.last_index = index;
    }

    /// Handles a segment that the store took.
    pub fn end_write(&mut self, number: u64, revision: u64) {
        let Some((position, write)) = self.take_write(number) else {
            return;
        };
        self.revisions.insert(self.open[position].index, revision);
        self.acknowledge(position, write);
    }

    fn acknowledge(&mut self, position: usize, write: WriteUnderWay) {
        for (number, noted) in write.added {
            self.unwritten.remove(&number);
            self.open[position].stored.push_back(noted);
        }
    }

    /// Handles a write that was not acknowledged; the same streams are written again, in another segment until it is known
    /// whether this one was carried out.
    pub fn fail_write(&mut self, number: u64) {
        if let Some((position, write)) = self.take_write(number) {
            self.open[position].unsettled = Some(write);
        }
    }

    /// Handles a segment that another node has written since, or that is gone. Another writer keeps its segment; where the
    /// store does not tell what it holds, it has to be read first.
    pub fn resolve_conflict(&mut self, number: u64, found: Option<StoredSegment>) {
        let Some((position, _)) = self.take_write(number) else {
            return;
        };
        let index = self.open[position].index;
        match found {
            None => {
                self.revisions.remove(&index);
                self.has_position = false;
            }
            Some(found) => {
                self.revisions.insert(index, found.revision);
                self.move_on(position);
            }
        }
    }

    fn take_write(&mut self, number: u64) -> Option<(usize, WriteUnderWay)> {
        let mut open = self.open.iter_mut().enumerate();
        open.find_map(|(position, open)| Some((position, open.take_write(number)?)))
    }

    /// Applies the segments that the store holds. A node that has just become a writer of the shard begins after them, and
    /// writes without an answer are settled.
    pub fn begin_after(&mut self, found: &[StoredSegment]) {
        if self.has_position && !self.has_unsettled() {
            return;
        }
        self.has_position = true;
        let revisions = found.iter();
        let revisions = revisions.map(|found| (found.segment.index, found.revision));
        let before = std::mem::replace(&mut self.revisions, revisions.collect());
        let newest = self.revisions.iter().max_by_key(|(_, revision)| **revision);
        self.last_index = newest.map_or(SEGMENTS - 1, |(index, _)| *index);
        for position in 0..self.open.len() {
            self.settle(position, found, &before);
        }
    }

    /// Keeps an open segment if the store holds it as this node has written it, else goes on with another one.
    fn settle(&mut self, position: usize, found: &[StoredSegment], before: &BTreeMap<u8, u64>) {
        let open = &mut self.open[position];
        if open.write.is_some() {
            return;
        }
        let index = open.index;
        let unsettled = open.unsettled.take();
        let held = found.iter().find(|found| found.segment.index == index);
        match (unsettled, held) {
            (Some(write), Some(held)) if write.is_held_by(&held.segment) => {
                self.acknowledge(position, write);
                if !self.open[position].holds_all_of(&held.segment) {
                    self.move_on(position);
                }
            }
            // It may be carried out yet.
            (Some(_), _) => self.move_on(position),
            // Another writer may have written it since.
            (None, _) if before.get(&index) != self.revisions.get(&index) => self.move_on(position),
            (None, _) => {}
        }
    }

    /// The next segment after one that is not open and not known to hold anything, else the one that was written the
    /// longest ago.
    fn next_index(&self, after: u8) -> u8 {
        let is_open = |index: u8| self.open.iter().any(|open| open.index == index);
        let mut following = (1..=SEGMENTS).map(|step| (after + step) % SEGMENTS);
        let closed = self.revisions.iter().filter(|(index, _)| !is_open(**index));
        let oldest = closed.min_by_key(|(_, revision)| **revision);
        following
            .find(|index| !is_open(*index) && !self.revisions.contains_key(index))
            .or(oldest.map(|(index, _)| *index))
            .unwrap_or_default()
    }
}

/// A position drawn by a stream's id, so that nodes seldom choose the same one.
fn guessed_index((_, stream, _): &Noted) -> u8 {
    (stream.0 >> 32) as u8 % SEGMENTS
}
