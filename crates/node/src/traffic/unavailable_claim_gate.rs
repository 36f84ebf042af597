//! Claims of a process without a control thread.

use std::time::Duration;

use futures_util::future::BoxFuture;

use super::{ClaimDecision, ClaimGate, ClaimRequest};

/// When callers may come back, to find the process with a control thread.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Grants nothing: a process without a control thread cannot know of claims elsewhere.
#[derive(Debug, Clone, Copy, Default)]
pub struct UnavailableClaimGate;

impl ClaimGate for UnavailableClaimGate {
    fn claim(&self, _request: ClaimRequest) -> BoxFuture<'static, ClaimDecision> {
        Box::pin(std::future::ready(ClaimDecision::Unavailable {
            retry_after: RETRY_AFTER,
        }))
    }

    fn release(&self, _request: ClaimRequest) {}

    fn ended(&self, _request: ClaimRequest) {}
}
