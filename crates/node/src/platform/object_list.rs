//! A list of objects.

use serde::{Deserialize, Serialize};

use super::Object;

/// The objects under a prefix; they may be stale.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectList {
    /// Revision of the whole store the list was taken at; a watch goes on from here.
    pub revision: u64,
    /// The objects in order of their keys.
    pub objects: Vec<Object>,
}
