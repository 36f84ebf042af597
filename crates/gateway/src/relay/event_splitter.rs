//! Splits a stream into complete events.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

use super::RelayFault;

/// Maximum size of an event, which is buffered until its end has been received.
const MAX_EVENT_BYTES: usize = 1_024 * 1_024;
/// Number of bytes of the end of an event that may have been received before its last byte.
const PART_OF_END_BYTES: usize = 3;

/// Splits a stream after complete events, so that a caller never receives part of one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of buffered bytes that hold no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes, and returns the events that are now complete, unchanged, if there are any.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, RelayFault> {
        self.buffer.extend_from_slice(bytes);
        let unsearched = &self.buffer[self.searched..];
        let Some(end) = last_event_end(unsearched).map(|end| self.searched + end) else {
            self.searched = self.buffer.len().saturating_sub(PART_OF_END_BYTES);
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(RelayFault {
                    detail: format!("event is longer than {MAX_EVENT_BYTES} bytes"),
                });
            }
            return Ok(None);
        };
        let whole = self.buffer.split_to(end).freeze();
        self.searched = 0;
        Ok(Some(whole))
    }

    /// Number of buffered bytes, which belong to an event whose end has not been received.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the buffered bytes after the end of the stream.
    pub fn finish(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }
}

/// Position after the blank line that ends the last complete event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let plain = memmem::rfind(bytes, b"\n\n").map(|at| at + 2);
    let with_returns = memmem::rfind(bytes, b"\r\n\r\n").map(|at| at + 4);
    plain.max(with_returns)
}
