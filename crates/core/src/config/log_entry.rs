//! An accepted change.

use serde::{Deserialize, Serialize};

use crate::identity::ConfigVersion;
use crate::timestamp::Timestamp;

use super::Change;

/// One accepted change, as written in the log of the object API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The version it makes.
    pub version: ConfigVersion,
    /// When the node that wrote it did so, by its clock; for people only.
    pub written_at: Timestamp,
    /// The change.
    #[serde(flatten)]
    pub change: Change,
}
