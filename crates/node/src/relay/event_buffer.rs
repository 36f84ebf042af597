//! Cuts a stream of bytes into events.

use bytes::{Bytes, BytesMut};
use memchr::memchr;

use super::RelayFault;

/// Holds the event at the end of the bytes seen so far that is not whole yet.
#[derive(Debug)]
pub struct EventBuffer {
    partial: BytesMut,
    // Bytes of `partial` known to hold no end of an event, so that an event that trickles in is
    // not searched from its start each time.
    searched: usize,
    limit: usize,
}

impl EventBuffer {
    /// A buffer for events of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            partial: BytesMut::new(),
            searched: 0,
            limit,
        }
    }

    /// Fails when an event, whole or not, is larger than allowed.
    pub fn check_size(&self, event: &[u8]) -> Result<(), RelayFault> {
        if event.len() > self.limit {
            return Err(RelayFault::EventTooLarge { limit: self.limit });
        }
        Ok(())
    }

    /// Puts the partial event before `bytes`; the second value tells from where to search for the
    /// end of the first event. Bytes that follow a whole event are passed on without a copy.
    pub fn join(&mut self, bytes: Bytes) -> (Bytes, usize) {
        if self.partial.is_empty() {
            return (bytes, 0);
        }
        self.partial.extend_from_slice(&bytes);
        let searched = std::mem::take(&mut self.searched);
        (self.partial.split().freeze(), searched)
    }

    /// Keeps the partial event at the end of a block, or fails when it is too large already.
    pub fn keep(&mut self, partial: &[u8]) -> Result<(), RelayFault> {
        self.check_size(partial)?;
        if partial.is_empty() {
            // The memory goes back with the block it was part of.
            self.partial = BytesMut::new();
            return Ok(());
        }
        self.partial.extend_from_slice(partial);
        // The last two bytes may be the first part of an empty line.
        self.searched = partial.len().saturating_sub(2);
        Ok(())
    }

    /// The end, after its empty line, of the event that begins at or before `from`.
    pub fn find_end(block: &[u8], from: usize) -> Option<usize> {
        let mut start = from;
        while let Some(length) = memchr(b'\n', &block[start..]) {
            let next = start + length + 1;
            match block.get(next..) {
                Some([b'\n', ..]) => return Some(next + 1),
                Some([b'\r', b'\n', ..]) => return Some(next + 2),
                _ => start = next,
            }
        }
        None
    }
}
