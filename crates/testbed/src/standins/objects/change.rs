//! One line of a watch.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One change of the store, as a watch tells it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Revision of the store after the change.
    pub revision: u64,
    /// The object.
    pub key: String,
    /// Its version after the change.
    pub version: u64,
    /// Its value; `None` when it was deleted.
    pub value: Option<Value>,
}
