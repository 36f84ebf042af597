//! Answers of the object API.

use super::{StoreFailure, StoreRevision, StoreVersion, StoredObject};

/// Answer to a [`super::StoreCall`].
#[derive(Debug, Clone)]
pub enum StoreAnswer {
    /// The object.
    Found(StoredObject),
    /// There is no such object.
    NotFound,
    /// Objects with the prefix; may be stale.
    Listed {
        /// Revision of the store that the list shows.
        revision: StoreRevision,
        /// The objects in order of key.
        objects: Vec<StoredObject>,
    },
    /// The write took effect.
    Written {
        /// The object's new version.
        version: StoreVersion,
    },
    /// The object was deleted.
    Deleted,
    /// The precondition did not hold, so the write had no effect.
    Conflict {
        /// The object's version, if the API told it.
        version: Option<StoreVersion>,
    },
    /// There is no answer; a write may have taken effect, or may still.
    Failed(StoreFailure),
}
