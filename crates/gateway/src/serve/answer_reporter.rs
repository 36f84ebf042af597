//! Tells how an answer ended, for releases of engine software.

use std::fmt;
use std::rc::Rc;

use memchr::memmem;

use super::accepted_request::AcceptedRequest;
use crate::gateway::Gateway;
use crate::placement::Placement;
use crate::release::{AnswerEnd, AnswerTiming};

/// Tells how an answer ended, once; when it is dropped before, that nobody waited for the end.
pub(super) struct AnswerReporter {
    gateway: Rc<Gateway>,
    /// `None` after the end, and where there are no releases.
    watch: Option<AnswerTiming>,
}

impl AnswerReporter {
    /// A request is sent to an engine.
    pub(super) fn begin(
        gateway: &Rc<Gateway>,
        request: &AcceptedRequest,
        placement: &Placement,
    ) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            watch: gateway.start_answer_timing(request, placement),
        }
    }

    /// The next bytes are waited for.
    pub(super) fn begin_wait(&mut self) {
        if let Some(watch) = &mut self.watch {
            watch.begin_wait(self.gateway.clock().now());
        }
    }

    /// They came, or the stream ended.
    pub(super) fn end_wait(&mut self) {
        if let Some(watch) = &mut self.watch {
            watch.end_wait(self.gateway.clock().now());
        }
    }

    /// Whole events came.
    pub(super) fn note_events(&mut self, bytes: &[u8]) {
        if let Some(watch) = &mut self.watch {
            let plain = memmem::find_iter(bytes, b"\n\n").count();
            let with_returns = memmem::find_iter(bytes, b"\r\n\r\n").count();
            watch.note_events((plain + with_returns) as u32, self.gateway.clock().now());
        }
    }

    /// The answer has ended.
    pub(super) fn end(&mut self, end: AnswerEnd) {
        if let Some(mut watch) = self.watch.take() {
            watch.end_wait(self.gateway.clock().now());
            self.gateway.note_release_answer(&watch, end);
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
        self.watch.fmt(formatter)
    }
}
