//! Events of a watch.

use super::{ObjectKey, ObjectPrefix, StoreRevision, StoreVersion, StoredObject};

/// What comes from a watch of the object API.
#[derive(Debug, Clone)]
pub enum WatchEvent {
    /// An object was written.
    Written {
        /// Revision of the store after the write.
        revision: StoreRevision,
        /// The object.
        object: StoredObject,
    },
    /// An object was deleted.
    Deleted {
        /// Revision of the store after the deletion.
        revision: StoreRevision,
        /// Its key.
        key: ObjectKey,
        /// Its last version.
        version: StoreVersion,
    },
    /// The revision asked for is gone: the state must be read anew. The watch has ended.
    Compacted {
        /// Keys that were watched.
        prefix: ObjectPrefix,
    },
    /// The API takes no more readers now. The watch has ended.
    TooManyReaders {
        /// Keys that were watched.
        prefix: ObjectPrefix,
    },
    /// The watch broke for another reason. The watch has ended.
    Broken {
        /// Keys that were watched.
        prefix: ObjectPrefix,
    },
}
