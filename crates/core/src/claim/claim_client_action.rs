//! What a claiming process wants done.

use derive_more::From;

use crate::identity::RequestId;

use super::{ClaimEnvelope, ClaimOutcome};

/// What a [`super::ClaimClient`] wants done.
#[derive(Debug, Clone, PartialEq, Eq, From)]
pub enum ClaimClientAction {
    /// Send a message.
    Send(ClaimEnvelope),
    /// The claim of a request is decided; said once a request.
    #[from(skip)]
    Decided {
        /// The request.
        request: RequestId,
        /// The outcome.
        outcome: ClaimOutcome,
    },
}
