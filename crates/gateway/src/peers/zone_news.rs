//! What the nodes of one zone tell those of the others, gathered by one of them.

use ryerouter_core::identity::ZoneName;
use serde::{Deserialize, Serialize};

use super::{EngineLoadNews, HolderNews};

/// What the nodes of one zone tell those of the others.
///
/// Bytes between zones are dear, so each zone sends its news once to one node of every other zone,
/// which passes them on within its own; see docs/design/reading.md.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneNews {
    /// The zone that tells.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// Whether a node of the receiver's own zone passes it on.
    #[serde(rename = "p", default)]
    pub is_passed_on: bool,
    /// All work at engines of the nodes of that zone, now and then.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub loads: Option<Vec<EngineLoadNews>>,
    /// Prefixes that engines have read.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub holders: Vec<HolderNews>,
}
