//! A change that was accepted lately.

use serde::{Deserialize, Serialize};

use crate::identity::{ChangeId, ConfigVersion};

use super::LogEntry;

/// A change that was accepted lately.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentChange {
    /// The version it made.
    #[serde(rename = "v")]
    pub version: ConfigVersion,
    /// Its id.
    #[serde(rename = "i")]
    pub change_id: ChangeId,
    /// Who wanted it.
    #[serde(rename = "a")]
    pub author: String,
}

impl RecentChange {
    /// What is remembered of an entry.
    pub fn of(entry: &LogEntry) -> Self {
        Self {
            version: entry.version,
            change_id: entry.change.change_id.clone(),
            author: entry.change.author.clone(),
        }
    }
}
