//! What happens to a claiming process.

use crate::identity::{IdempotencyKey, NodeName, RequestId, TenantName};

use super::{ClaimId, ClaimMessage, ClaimRoster};

/// What happens to a [`super::ClaimClient`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimClientEvent {
    /// A request needs its key claimed.
    Requested {
        /// The request.
        request: RequestId,
        /// Whose key it is.
        tenant: TenantName,
        /// The key.
        key: IdempotencyKey,
    },
    /// The request of a granted claim certainly did not run and never will under this claim.
    NotRun {
        /// The claim.
        claim: ClaimId,
    },
    /// The request of a granted claim is over and ran or may have run; its key stays claimed.
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
    /// The configuration names these keepers.
    RosterChanged(ClaimRoster),
    /// Time passed; due at [`super::ClaimClient::next_deadline`].
    Tick,
}
