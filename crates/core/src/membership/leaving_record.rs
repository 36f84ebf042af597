//! What nodes tell each other of a leaving back end.

use serde::{Deserialize, Serialize};

use crate::identity::{BackEndName, Incarnation};

/// Whether one process of a back end is leaving by its own word.
///
/// A higher incarnation wins; within one incarnation leaving wins, because a process that has said
/// it leaves does not come back, only a new process does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingRecord {
    /// The back end.
    #[serde(rename = "b")]
    pub back_end: BackEndName,
    /// Its process.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Whether that process leaves.
    #[serde(rename = "l")]
    pub leaving: bool,
}

impl LeavingRecord {
    /// Whether this record replaces `other` of the same back end.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.leaving) > (other.incarnation, other.leaving)
    }
}
