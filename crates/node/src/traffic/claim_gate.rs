//! Where claims on idempotency keys are decided.

use futures_util::future::BoxFuture;

use super::{ClaimDecision, ClaimRequest};

/// Decides over all router processes whether a request that must run at most once may run here.
///
/// The control thread implements it; the traffic side asks it before the dispatcher sees the
/// request.
pub trait ClaimGate: Send + Sync + 'static {
    /// Claims the key for good, unless it is released.
    fn claim(&self, request: ClaimRequest) -> BoxFuture<'static, ClaimDecision>;

    /// Gives the key back. Called only when the request certainly did not run and never will.
    fn release(&self, request: ClaimRequest);

    /// The request is over and ran or may have run; its key stays claimed.
    fn ended(&self, request: ClaimRequest);
}
