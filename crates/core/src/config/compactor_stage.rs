//! Stages of the compactor.

use crate::control::{ObjectKey, StoreRequestId, StoreVersion};
use crate::identity::ConfigVersion;

/// What the compactor waits for.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum CompactorStage {
    /// Nothing.
    #[default]
    Idle,
    /// The stored snapshot.
    Reading(StoreRequestId),
    /// Its write of a newer snapshot.
    Writing {
        /// The write.
        request: StoreRequestId,
        /// Version of that snapshot.
        version: ConfigVersion,
    },
    /// The list of log entries.
    Listing {
        /// The read.
        request: StoreRequestId,
        /// Version of the snapshot that was written.
        version: ConfigVersion,
    },
    /// One deletion.
    Deleting {
        /// The deletion.
        request: StoreRequestId,
        /// What is to be deleted after it, newest first.
        rest: Vec<(ObjectKey, StoreVersion)>,
    },
}

impl CompactorStage {
    /// The call to the object API it waits for.
    pub fn request(&self) -> Option<StoreRequestId> {
        match self {
            Self::Idle => None,
            Self::Reading(request)
            | Self::Writing { request, .. }
            | Self::Listing { request, .. }
            | Self::Deleting { request, .. } => Some(*request),
        }
    }
}
