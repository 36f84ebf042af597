//! Calls to the object API.

use super::{ObjectKey, ObjectPrefix, Precondition, StoreValue, StoreVersion};

/// A call to the object API.
#[derive(Debug, Clone)]
pub enum StoreCall {
    /// Read one object.
    Get {
        /// Its key.
        key: ObjectKey,
    },
    /// Read all objects with a prefix.
    List {
        /// The prefix.
        prefix: ObjectPrefix,
    },
    /// Write one object.
    Put {
        /// Its key.
        key: ObjectKey,
        /// Its value.
        value: StoreValue,
        /// Condition of the write.
        precondition: Precondition,
    },
    /// Delete one object.
    Delete {
        /// Its key.
        key: ObjectKey,
        /// The version it must be at.
        version: StoreVersion,
    },
}
