//! An attempt that a back end may be running.

use std::sync::Arc;

use crate::engine::{EngineTarget, PayloadKind};
use crate::traffic::Worker;

/// An attempt that a back end may be running; cancels it there when dropped unsettled, which
/// happens when the caller leaves.
pub(crate) struct AttemptGuard {
    worker: Arc<Worker>,
    target: EngineTarget,
    settled: bool,
    // Plain services know no attempts: for them a closed connection is all there is.
    cancellable: bool,
}

impl AttemptGuard {
    pub(crate) fn new(worker: Arc<Worker>, target: EngineTarget, kind: PayloadKind) -> Self {
        Self {
            worker,
            target,
            settled: false,
            cancellable: kind != PayloadKind::Service,
        }
    }

    pub(crate) fn target(&self) -> EngineTarget {
        self.target
    }

    /// The attempt is over, or another attempt may resume it: there is nothing to cancel.
    pub(crate) fn settle(mut self) {
        self.settled = true;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.settled && self.cancellable {
            self.worker.link.cancel(self.target);
        }
    }
}
