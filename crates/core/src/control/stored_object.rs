//! An object of the object API.

use super::{ObjectKey, StoreValue, StoreVersion};

/// An object as the object API gives it.
#[derive(Debug, Clone)]
pub struct StoredObject {
    /// Its key.
    pub key: ObjectKey,
    /// Its version.
    pub version: StoreVersion,
    /// Its value.
    pub value: StoreValue,
}
