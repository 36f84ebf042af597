//! Claims of a process without a control thread.

use futures_util::future::BoxFuture;

use super::{ClaimDecision, ClaimGate, ClaimRequest};

/// Grants nothing: a process without a control thread cannot know of claims elsewhere.
#[derive(Debug, Clone, Copy, Default)]
pub struct UnavailableClaimGate;

impl ClaimGate for UnavailableClaimGate {
    fn claim(&self, _request: ClaimRequest) -> BoxFuture<'static, ClaimDecision> {
        Box::pin(std::future::ready(ClaimDecision::Unavailable))
    }

    fn release(&self, _request: ClaimRequest) {}
}
