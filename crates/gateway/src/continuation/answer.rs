//! Answers at which version a stream began.

use ryerouter_core::continuation::Knowledge;
use ryerouter_core::release::SoftwareVersion;
use serde::{Deserialize, Serialize};

/// What a node knows about a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Number of the question.
    #[serde(rename = "n")]
    pub number: u64,
    /// The version that began the stream, if known.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
    /// Whether streams of different versions were begun under its id.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_ambiguous: bool,
    /// Whether the sender is one of the nodes that hold the stream's record, as far as it knows the nodes. Otherwise it
    /// has passed the question on to them.
    #[serde(rename = "h", default)]
    pub is_holder: bool,
    /// Versions of the pool that the sender has seen lately.
    #[serde(rename = "s", default)]
    pub versions: Vec<SoftwareVersion>,
    /// Whether the sender knows which versions served before it was started.
    #[serde(rename = "k", default, skip_serializing_if = "std::ops::Not::not")]
    pub knows_past: bool,
    /// Whether no node that the sender can't hear may serve other versions.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_whole: bool,
}

impl Answer {
    /// What the sender knows about the stream.
    pub fn knowledge(&self) -> Knowledge {
        match (self.is_ambiguous, &self.software) {
            (true, _) => Knowledge::Ambiguous,
            (false, Some(software)) => Knowledge::Began(software.clone()),
            (false, None) => Knowledge::Unknown,
        }
    }
}
