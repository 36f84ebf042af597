//! Events of the claim client.

use crate::identity::{IdempotencyKey, NodeName, RequestId, TenantName};

use super::{ClaimId, ClaimMessage, ClaimRoster};

/// Events that a [`super::ClaimClient`] handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimClientEvent {
    /// A request needs a claim on its idempotency key.
    Requested {
        /// The request.
        request: RequestId,
        /// Tenant that the key belongs to.
        tenant: TenantName,
        /// The key.
        key: IdempotencyKey,
    },
    /// The request of a granted claim certainly did not run and never will under this claim.
    NotRun {
        /// The claim.
        claim: ClaimId,
    },
    /// The request of a granted claim has ended and ran or may have run; its key stays claimed.
    Ended {
        /// The claim.
        claim: ClaimId,
    },
    /// A keeper answered.
    Received {
        /// The keeper.
        from: NodeName,
        /// Its answer.
        message: ClaimMessage,
    },
    /// The configuration contains a new roster.
    RosterChanged(ClaimRoster),
    /// Timer tick; due at [`super::ClaimClient::next_deadline`].
    Tick,
}
