//! Configuration between nodes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::ConfigVersion;

use super::{Checkpoint, LogEntry};

/// Configuration between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigMessage {
    /// The sender has this version.
    #[serde(rename = "h")]
    Head(ConfigVersion),
    /// Asks for the receiver's version.
    #[serde(rename = "q")]
    Ask,
    /// The object API has shown the sender that there is no configuration yet.
    #[serde(rename = "n")]
    None,
    /// Asks for what came after this version.
    #[serde(rename = "p")]
    Pull(ConfigVersion),
    /// Entries in order, without gaps.
    #[serde(rename = "e")]
    Entries(Vec<Arc<LogEntry>>),
    /// The whole configuration, for a node too far behind for entries.
    #[serde(rename = "s")]
    Snapshot(Arc<Checkpoint>),
}
