//! Reports how engines' answers end, for the evaluation of engine software releases.

use std::fmt;
use std::rc::Rc;

use memchr::memmem;

use super::accepted_request::AcceptedRequest;
use crate::gateway::Gateway;
use crate::placement::Placement;
use crate::release::{AnswerEnd, AnswerTiming};

/// Reports once how an answer ended. When dropped before that, it reports that nobody waited for the end.
pub(super) struct AnswerReporter {
    gateway: Rc<Gateway>,
    /// `None` after the end of the answer, and when no release needs its timing.
    timing: Option<AnswerTiming>,
}

impl AnswerReporter {
    /// Creates a reporter when a request is sent to an engine.
    pub(super) fn begin(
        gateway: &Rc<Gateway>,
        request: &AcceptedRequest,
        placement: &Placement,
    ) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            timing: gateway.start_answer_timing(request, placement),
        }
    }

    /// Starts measuring the wait for the engine's next bytes.
    pub(super) fn begin_wait(&mut self) {
        if let Some(timing) = &mut self.timing {
            timing.begin_wait(self.gateway.clock().now());
        }
    }

    /// Stops the measurement started by [`Self::begin_wait`]: bytes arrived, or the stream ended.
    pub(super) fn end_wait(&mut self) {
        if let Some(timing) = &mut self.timing {
            timing.end_wait(self.gateway.clock().now());
        }
    }

    /// Counts the events in `bytes`, which holds complete events only.
    pub(super) fn note_events(&mut self, bytes: &[u8]) {
        if let Some(timing) = &mut self.timing {
            let plain = memmem::find_iter(bytes, b"\n\n").count();
            let with_returns = memmem::find_iter(bytes, b"\r\n\r\n").count();
            timing.note_events((plain + with_returns) as u32, self.gateway.clock().now());
        }
    }

    /// Reports the end of the answer, unless it has been reported.
    pub(super) fn end(&mut self, end: AnswerEnd) {
        if let Some(mut timing) = self.timing.take() {
            timing.end_wait(self.gateway.clock().now());
            self.gateway.note_release_answer(&timing, end);
        }
    }
}

impl Drop for AnswerReporter {
    fn drop(&mut self) {
        self.end(AnswerEnd::Left);
    }
}

impl fmt::Debug for AnswerReporter {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.timing.fmt(formatter)
    }
}
