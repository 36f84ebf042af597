//! A granted claim.

use std::sync::Arc;

use super::{ClaimGate, ClaimRequest};

/// A granted claim. It lasts for good unless [`ClaimHold::release`] gives it back.
pub(crate) struct ClaimHold {
    gate: Arc<dyn ClaimGate>,
    request: ClaimRequest,
}

impl ClaimHold {
    pub(crate) fn new(gate: Arc<dyn ClaimGate>, request: ClaimRequest) -> Self {
        Self { gate, request }
    }

    /// Gives the claim back, because the request certainly did not run and never will.
    pub(crate) fn release(self) {
        self.gate.release(self.request);
    }
}
