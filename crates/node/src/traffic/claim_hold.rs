//! A granted claim.

use std::sync::Arc;

use ryerouter_core::Timestamp;

use super::{ClaimGate, ClaimRequest};

/// A granted claim. It lasts for good unless [`ClaimHold::release`] gives it back.
pub(crate) struct ClaimHold {
    gate: Arc<dyn ClaimGate>,
    request: ClaimRequest,
    dispatch_before: Timestamp,
}

impl ClaimHold {
    pub(crate) fn new(
        gate: Arc<dyn ClaimGate>,
        request: ClaimRequest,
        dispatch_before: Timestamp,
    ) -> Self {
        Self {
            gate,
            request,
            dispatch_before,
        }
    }

    /// No attempt may start at or after this time.
    pub(crate) fn dispatch_before(&self) -> Timestamp {
        self.dispatch_before
    }

    /// Keeps the claim: the request is over and ran or may have run.
    pub(crate) fn keep(self) {
        self.gate.ended(self.request);
    }

    /// Gives the claim back, because the request certainly did not run and never will.
    pub(crate) fn release(self) {
        self.gate.release(self.request);
    }
}
