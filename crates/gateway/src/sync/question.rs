//! What a node asks another one of its zone.

use serde::{Deserialize, Serialize};

/// How far the sender's copies are, so that the answer holds only what it lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Tells questions of one node apart.
    #[serde(rename = "q")]
    pub number: u64,
    /// Revision of the list of engines.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub engines: Option<u64>,
    /// Revision of the named weights.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub weights: Option<u64>,
    /// Era of the source that these revisions belong to; `None` from builds that know no eras.
    #[serde(rename = "E", default, skip_serializing_if = "Option::is_none")]
    pub era: Option<u64>,
    /// Whether the asker wants the whole list of engines, since the source does not tell it.
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    pub wants_list: bool,
    /// Whether the asker reads changes of the list of engines in groups, which former builds do not.
    #[serde(rename = "g", default, skip_serializing_if = "is_false")]
    pub reads_groups: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}
