//! How far a migration stage has come.

use serde::{Deserialize, Serialize};

use crate::identity::{ResourceVersion, StageName};

/// How far a migration stage has come; written by router processes, never by operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageProgress {
    /// The stage.
    pub stage: StageName,
    /// Share of traffic that goes to the target now, in thousandths.
    pub share_permille: u16,
    /// Whether the whole share has been held without complaint: nothing is judged any more.
    #[serde(default)]
    pub finished: bool,
    /// What was found at the last change, for people.
    #[serde(default)]
    pub note: String,
    /// Version of the configuration that last changed it.
    #[serde(default)]
    pub version: ResourceVersion,
}
