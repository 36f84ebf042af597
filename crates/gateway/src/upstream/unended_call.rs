//! A call that has not ended yet.

use std::cell::RefCell;
use std::rc::Rc;

use super::called_addresses::CalledAddresses;
use super::sent_call::SentCall;

/// What was sent last for a call that has not ended yet.
///
/// Callers may drop a call before its own limit, and learn nothing from that: what the call's
/// connection has told by then is noted here.
#[derive(Debug)]
pub(super) struct UnendedCall {
    known: Rc<CalledAddresses>,
    sent: RefCell<Option<SentCall>>,
}

impl UnendedCall {
    pub(super) fn new(known: Rc<CalledAddresses>) -> Self {
        Self {
            known,
            sent: RefCell::default(),
        }
    }

    pub(super) fn note_sent(&self, call: SentCall) {
        self.sent.replace(Some(call));
    }

    /// The call has ended; tells what was sent last.
    pub(super) fn end(&self) -> Option<SentCall> {
        self.sent.take()
    }
}

impl Drop for UnendedCall {
    fn drop(&mut self) {
        if let Some(call) = self.end() {
            self.known.abandoned(&call);
        }
    }
}
