//! A claim that waits for its outcome.

use ryerouter_core::claim::ClaimOutcome;
use ryerouter_core::identity::{IdempotencyKey, TenantName};
use tokio::sync::oneshot;

/// A claim of a traffic thread that waits for its outcome.
#[derive(Debug)]
pub(super) struct PendingClaim {
    pub(super) tenant: TenantName,
    pub(super) key: IdempotencyKey,
    pub(super) reply: oneshot::Sender<ClaimOutcome>,
}
