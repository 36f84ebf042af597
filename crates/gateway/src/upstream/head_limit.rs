//! Bounds the head of an answer.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use super::head_fault::HeadFault;
use crate::clock::Clock;
use crate::relay::FillerMeter;

/// Bytes that may be received until the head of an answer is complete, interim heads included. The start of the body may
/// have been read with the head.
const MAX_HEAD_BYTES: usize = 256 * 1_024;

/// What a connection receives until the head of an answer is complete.
#[derive(Debug, Clone, Copy, Default)]
struct AwaitedHead {
    bytes: usize,
    filler: FillerMeter,
    fault: Option<HeadFault>,
}

/// Counts the bytes that a connection receives before the head of an answer. HTTP allows any number of interim heads
/// before it, which are skipped unseen. A few may come until the answer is ready, but not without end.
#[derive(Debug, Clone)]
pub(super) struct HeadLimit {
    clock: Clock,
    /// `None` while no head is awaited.
    awaited: Rc<Cell<Option<AwaitedHead>>>,
}

impl HeadLimit {
    /// Awaits no head yet.
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            awaited: Rc::default(),
        }
    }

    /// Starts counting, when a request is sent.
    pub(super) fn begin(&self) {
        self.awaited.set(Some(AwaitedHead::default()));
    }

    /// Stops counting, when the head has been received.
    pub(super) fn end(&self) {
        self.awaited.set(None);
    }

    /// Whether anything has been received since the request was sent.
    pub(super) fn has_received(&self) -> bool {
        self.awaited.get().is_some_and(|head| head.bytes > 0)
    }

    /// Why the connection ended, if it was for the head.
    pub(super) fn fault(&self) -> Option<HeadFault> {
        self.awaited.get()?.fault
    }

    /// Counts received bytes. An error ends the connection.
    pub(super) fn count(&self, bytes: usize) -> io::Result<()> {
        let Some(mut head) = self.awaited.get() else {
            return Ok(());
        };
        let now = self.clock.now();
        head.bytes += bytes;
        head.filler.push(bytes as u64, now);
        if head.bytes > MAX_HEAD_BYTES {
            head.fault = Some(HeadFault::TooLong);
        } else if head.filler.is_exceeded(now) {
            head.fault = Some(HeadFault::Endless);
        }
        self.awaited.set(Some(head));
        match head.fault {
            Some(fault) => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                fault.to_string(),
            )),
            None => Ok(()),
        }
    }
}
