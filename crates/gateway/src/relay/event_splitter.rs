//! Finding whole events in a stream.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

use super::RelayFault;

/// Longest event that is held back for its end.
const MAX_EVENT_BYTES: usize = 1_024 * 1_024;
/// Line that begins with the id of an event.
const ID_FIELD: &str = "id:";

/// Whole events, ready to be passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventBatch {
    /// Their bytes, unchanged.
    pub bytes: Bytes,
    /// Id of the last one that has an id.
    pub last_id: Option<String>,
}

/// Cuts a stream after whole events, so that a caller never gets part of one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Takes bytes and gives the events that are now whole.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<EventBatch>, RelayFault> {
        self.buffer.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.buffer) else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(RelayFault {
                    detail: format!("event longer than {MOST_HELD_BYTES} bytes"),
                });
            }
            return Ok(None);
        };
        let whole = self.buffer.split_to(end).freeze();
        let last_id = last_id(&whole);
        Ok(Some(EventBatch {
            bytes: whole,
            last_id,
        }))
    }

    /// Bytes of an event whose end has not come.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the rest of a stream that ended well.
    pub fn finish(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

/// Where the last whole event ends: after its blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let plain = memmem::rfind(bytes, b"\n\n").map(|at| at + 2);
    let with_returns = memmem::rfind(bytes, b"\r\n\r\n").map(|at| at + 4);
    plain.max(with_returns)
}

fn last_id(events: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(events).ok()?;
    let line = text.lines().rev().find(|line| line.starts_with(ID_FIELD))?;
    Some(line[ID_FIELD.len()..].trim().to_owned())
}
