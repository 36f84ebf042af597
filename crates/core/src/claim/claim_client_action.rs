//! Actions of the claim client.

use derive_more::From;

use crate::identity::RequestId;

use super::{ClaimEnvelope, ClaimOutcome};

/// Actions that a [`super::ClaimClient`] requests.
#[derive(Debug, Clone, PartialEq, Eq, From)]
pub enum ClaimClientAction {
    /// Send a message.
    Send(ClaimEnvelope),
    /// The claim of a request is decided; issued exactly once per request.
    #[from(skip)]
    Decided {
        /// The request.
        request: RequestId,
        /// The outcome.
        outcome: ClaimOutcome,
    },
}
