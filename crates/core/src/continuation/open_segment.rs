//! A segment that a node writes.

use std::collections::{BTreeSet, VecDeque};

use super::journal::{Noted, Segment};
use crate::Timestamp;

/// A segment that a node writes, and the write of it that is under way.
#[derive(Debug)]
pub(super) struct OpenSegment {
    /// Its position in the shard.
    pub(super) index: u8,
    /// Streams that the store holds in it, in order of time.
    pub(super) stored: VecDeque<Noted>,
    /// The write that is under way.
    pub(super) write: Option<WriteUnderWay>,
    /// A write without an answer, which may have been carried out.
    pub(super) unsettled: Option<WriteUnderWay>,
}

/// A write that is under way.
#[derive(Debug)]
pub(super) struct WriteUnderWay {
    /// Tells it apart from other writes of this journal.
    pub(super) number: u64,
    /// When it began.
    pub(super) begun_at: Timestamp,
    /// The streams that it adds to those that are stored, by the order in which they were noted.
    pub(super) added: Vec<(u64, Noted)>,
}

impl OpenSegment {
    pub(super) fn new(index: u8) -> Self {
        Self {
            index,
            stored: VecDeque::new(),
            write: None,
            unsettled: None,
        }
    }

    /// Whether it can be written now: its revision is known, as far as the store holds it.
    pub(super) fn is_free(&self) -> bool {
        self.write.is_none() && self.unsettled.is_none()
    }

    /// Whether a segment holds nothing but what this node has written to it.
    pub(super) fn holds_all_of(&self, segment: &Segment) -> bool {
        let stored = self.stored.iter();
        let stored: BTreeSet<_> = stored.map(|(_, stream, entry)| (stream, entry)).collect();
        let mut held = segment.streams.iter();
        held.all(|(stream, entry)| stored.contains(&(stream, entry)))
    }

    /// Ends the write of this number, if it is under way.
    pub(super) fn take_write(&mut self, number: u64) -> Option<WriteUnderWay> {
        self.write.take_if(|write| write.number == number)
    }
}

impl WriteUnderWay {
    /// Whether a segment holds the streams that this write adds.
    pub(super) fn is_held_by(&self, segment: &Segment) -> bool {
        let mut added = self.added.iter();
        added.all(|(_, (_, stream, entry))| segment.streams.contains(&(*stream, entry.clone())))
    }
}
