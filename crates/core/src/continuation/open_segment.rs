//! A segment that a node writes.

use std::collections::VecDeque;

use super::journal::Noted;
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
        }
    }

    /// Ends the write of this number, if it is under way.
    pub(super) fn take_write(&mut self, number: u64) -> Option<WriteUnderWay> {
        self.write.take_if(|write| write.number == number)
    }
}
