//! Stages of a proposal.

use crate::control::StoreRequestId;
use crate::timestamp::Timestamp;

/// What a proposal waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposalStage {
    /// Its turn.
    Queued,
    /// A time, after a failure of the object API.
    Backoff {
        /// When to go on.
        until: Timestamp,
    },
    /// The entry of the version in force, which shows that the log still reaches back so far.
    Refreshing(StoreRequestId),
    /// The snapshot, because the log does not.
    Loading(StoreRequestId),
    /// The entry after the version in force, before a refusal is believed.
    CatchingUp(StoreRequestId),
    /// Its own write.
    Writing(StoreRequestId),
    /// The entry in the slot of a write whose result is not known.
    Settling {
        /// The read.
        request: StoreRequestId,
        /// Whether the write was refused because the slot is taken.
        taken: bool,
    },
}

impl ProposalStage {
    /// The call to the object API it waits for.
    pub fn request(&self) -> Option<StoreRequestId> {
        match self {
            Self::Queued | Self::Backoff { .. } => None,
            Self::Refreshing(request)
            | Self::Loading(request)
            | Self::CatchingUp(request)
            | Self::Writing(request)
            | Self::Settling { request, .. } => Some(*request),
        }
    }
}
