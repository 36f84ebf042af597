//! What a node answers another one of its zone.

use ryerouter_core::identity::BackEndName;
use serde::{Deserialize, Serialize};

use super::{Changes, EngineChange};
use crate::engines::EngineEntry;
use crate::peers::Publication;
use crate::peers::readable::readable;

/// How far a copy was, and for how long it is known to have been current.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Version of the configuration, or revision of other copies.
    #[serde(rename = "p")]
    pub position: u64,
    /// How long before the answer the copy was certainly current, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// What the asker lacks, and proofs that it has the rest.
///
/// The asker counts the age of a proof back from the moment at which it sent its question, since
/// the datagrams themselves may be of any age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The number of the question.
    #[serde(rename = "q")]
    pub number: u64,
    /// The configuration; its content comes from the source.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<Mark>,
    /// The list of engines.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub engines: Option<Mark>,
    /// The named weights.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub weights: Option<Mark>,
    /// How long before the answer a call for the list of engines had failed, or was answered again
    /// after that, in milliseconds: entries that went then may come back.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub trouble_age_ms: Option<u64>,
    /// Changes of the list of engines that the asker lacks.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    #[serde(deserialize_with = "readable")]
    pub changes: Vec<EngineChange>,
    /// The same in groups, for an asker that reads them.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub groups: Option<Changes>,
    /// The whole list of engines, for an asker that wants it and can't be told by changes.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    #[serde(deserialize_with = "readable")]
    pub list: Vec<EngineEntry>,
    /// Entries that belong to the list and can't be read: what they named is gone without a delay.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub unusable: Vec<BackEndName>,
    /// The revision that the asker has with these changes; `None` when it must read the list.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Era of the source that the revisions of this answer belong to; `None` from builds that know no eras.
    #[serde(rename = "E", default, skip_serializing_if = "Option::is_none")]
    pub era: Option<u64>,
    /// Weights that were named lately, when the asker lacks some.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub named: Vec<Publication>,
}
