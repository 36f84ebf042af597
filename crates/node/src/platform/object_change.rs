//! A change of an object, as a watch tells it.

use serde::{Deserialize, Serialize};

use super::Object;

/// A change of an object, as a watch tells it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectChange {
    /// Revision of the whole store after the change.
    pub revision: u64,
    /// The object's key.
    pub key: String,
    /// The object's version after the change.
    pub version: u64,
    /// Its new value; `None` when it was deleted.
    pub value: Option<serde_json::Value>,
}

impl ObjectChange {
    /// The object after the change; `None` when it was deleted.
    pub fn into_object(self) -> Option<Object> {
        let (key, version) = (self.key, self.version);
        self.value.map(|value| Object {
            key,
            version,
            value,
        })
    }
}
