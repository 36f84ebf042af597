//! A stored object.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A stored object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Its key.
    pub key: String,
    /// Its version: the revision of the store that wrote it, so it rises also over a deletion.
    pub version: u64,
    /// Its value.
    pub value: Value,
}
