//! What a claiming process wants done.

use derive_more::From;

use crate::identity::RequestId;

use super::{ClaimOutcome, ClaimSend};

/// What a [`super::ClaimClient`] wants done.
#[derive(Debug, Clone, PartialEq, Eq, From)]
pub enum ClaimClientAction {
    /// Send a message.
    Send(ClaimSend),
    /// The claim of a request is decided; said once a request.
    #[from(skip)]
    Decided {
        /// The request.
        request: RequestId,
        /// The outcome.
        outcome: ClaimOutcome,
    },
}
