//! What traffic threads ask of claims.

use ryerouter_core::claim::ClaimOutcome;
use ryerouter_core::identity::{IdempotencyKey, TenantName};
use tokio::sync::oneshot;

/// What traffic threads ask of claims.
#[derive(Debug)]
pub(super) enum ClaimCommand {
    /// Claim a key.
    Claim {
        /// Whose key it is.
        tenant: TenantName,
        /// The key.
        key: IdempotencyKey,
        /// Where the outcome goes.
        reply: oneshot::Sender<ClaimOutcome>,
    },
    /// Give a granted key back.
    Release {
        /// Whose key it is.
        tenant: TenantName,
        /// The key.
        key: IdempotencyKey,
    },
    /// The request of a granted key is over and ran or may have run.
    End {
        /// Whose key it is.
        tenant: TenantName,
        /// The key.
        key: IdempotencyKey,
    },
}
