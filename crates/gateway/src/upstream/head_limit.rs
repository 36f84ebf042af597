//! Bounds the head of an answer.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

/// Bytes that may be received until the head of an answer is complete, interim heads included. The start of the body may
/// have been read with the head.
const MAX_HEAD_BYTES: usize = 256 * 1_024;

/// Counts the bytes that a connection receives before the head of an answer. HTTP allows any number of interim heads
/// before it, which are skipped unseen.
#[derive(Debug, Clone, Default)]
pub(super) struct HeadLimit {
    /// Bytes received since the request was sent; `None` while no head is awaited.
    received: Rc<Cell<Option<usize>>>,
}

impl HeadLimit {
    /// Starts counting, when a request is sent.
    pub(super) fn begin(&self) {
        self.received.set(Some(0));
    }

    /// Stops counting, when the head has been received.
    pub(super) fn end(&self) {
        self.received.set(None);
    }

    /// Whether anything has been received since the request was sent.
    pub(super) fn has_received(&self) -> bool {
        self.received.get().is_some_and(|received| received > 0)
    }

    /// Why the connection ended, if the head was too long.
    pub(super) fn fault(&self) -> Option<String> {
        let is_exceeded = self.received.get()? > MAX_HEAD_BYTES;
        is_exceeded.then(|| format!("head is longer than {MAX_HEAD_BYTES} bytes"))
    }

    /// Counts received bytes. An error ends the connection.
    pub(super) fn count(&self, bytes: usize) -> io::Result<()> {
        let Some(received) = self.received.get() else {
            return Ok(());
        };
        self.received.set(Some(received + bytes));
        match self.fault() {
            Some(detail) => Err(io::Error::new(io::ErrorKind::InvalidData, detail)),
            None => Ok(()),
        }
    }
}
