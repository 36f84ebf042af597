//! What the nodes of one zone tell those of the others, gathered by one of them.

use ryerouter_core::identity::{NodeName, ZoneName};
use serde::{Deserialize, Serialize};

use super::readable::{readable, readable_or_default};
use super::{
    EngineIncarnationUpdate, EngineLoadUpdate, HolderUpdate, ReachUpdate, SignalUpdate,
    WeightsUpdate,
};
use crate::placement::{PrefillDemandUpdate, SourceDelayUpdate};
use crate::poison::PoisonUpdate;
use crate::quotas::UsageUpdate;
use crate::release::{EvidenceUpdate, ReleaseUpdate};
use crate::shedding::PoolLoadUpdate;

/// To whom the receiver of zone news passes them on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Pass {
    /// To its whole zone, through some of its nodes; when the news come from another region, also to a
    /// node of each other zone of its own.
    #[serde(rename = "z")]
    Zone,
    /// To its whole zone only: another zone of its region has passed them on.
    #[serde(rename = "o")]
    OwnZone,
    /// To the nodes of its zone that come after it by name, before this one.
    #[serde(rename = "u")]
    Until(Option<NodeName>),
    /// To nobody.
    #[default]
    #[serde(rename = "e")]
    End,
}

/// What the nodes of one zone tell those of the others.
///
/// Bytes between zones are dear, so each zone sends its news once to one node of every other zone of
/// its region, which passes them on within its own; see docs/design/reading.md. Bytes between regions
/// are dearer still, so to another region they go once, and are passed on from there to its zones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneUpdate {
    /// The zone that tells.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// To whom the receiver passes them on.
    #[serde(rename = "p", deserialize_with = "readable_or_default")]
    pub pass: Pass,
    /// The lives of engines of these news that have begun again lately; news of such an engine without
    /// its life are passed over.
    #[serde(rename = "i", default, skip_serializing_if = "Vec::is_empty")]
    pub lives: Vec<EngineIncarnationUpdate>,
    /// All work at engines of the nodes of that zone, now and then.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub loads: Option<Vec<EngineLoadUpdate>>,
    /// What tenants that come near their limits use at the nodes of that zone, with the work.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub usages: Vec<UsageUpdate>,
    /// What the nodes of that zone bring pools to read, with the work.
    #[serde(rename = "y", default, skip_serializing_if = "Vec::is_empty")]
    pub reading: Vec<PrefillDemandUpdate>,
    /// Load at the nodes of that zone of pools that may be short of capacity, with the work.
    #[serde(rename = "W", default, skip_serializing_if = "Vec::is_empty")]
    #[serde(deserialize_with = "readable")]
    pub pool_loads: Vec<PoolLoadUpdate>,
    /// Delays of the KV stores as the nodes of that zone have measured them, with the work, while
    /// any is noticeable.
    #[serde(rename = "K", default, skip_serializing_if = "Vec::is_empty")]
    #[serde(deserialize_with = "readable")]
    pub source_delays: Vec<SourceDelayUpdate>,
    /// Nodes of that zone that the sender has not heard lately, with the work.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
    pub silent: usize,
    /// Prefixes that engines have read.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub holders: Vec<HolderUpdate>,
    /// The newest grants of releases.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    #[serde(deserialize_with = "readable")]
    pub releases: Vec<ReleaseUpdate>,
    /// Answers that the nodes of that zone have seen in releases, with the work.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<EvidenceUpdate>,
    /// Requests under which engines ended.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    #[serde(deserialize_with = "readable")]
    pub poison: Vec<PoisonUpdate>,
    /// What engines have said of themselves in answers.
    #[serde(rename = "S", default, skip_serializing_if = "Vec::is_empty")]
    #[serde(deserialize_with = "readable")]
    pub signals: Vec<SignalUpdate>,
    /// Engines that the node that tells could not reach, or heard from after others could not.
    #[serde(rename = "D", default, skip_serializing_if = "Option::is_none")]
    #[serde(deserialize_with = "readable_or_default")]
    pub reach: Option<ReachUpdate>,
    /// Engines that load weights, or have loaded them.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub weights: Vec<WeightsUpdate>,
}

// The signature is that of the serializer's condition.
#[expect(clippy::trivially_copy_pass_by_ref)]
fn is_zero(count: &usize) -> bool {
    *count == 0
}
