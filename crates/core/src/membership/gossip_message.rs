//! Gossip.

use serde::{Deserialize, Serialize};

use crate::identity::{ConfigVersion, NodeName};

use super::{GossipKind, LeavingRecord, MachineRecord, MemberRecord};

/// One datagram of gossip: a probe or its answer, with news along.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Its sender.
    #[serde(rename = "f")]
    pub from: NodeName,
    /// What it asks or answers.
    #[serde(rename = "k")]
    pub kind: GossipKind,
    /// Configuration in force at the sender.
    #[serde(rename = "c")]
    pub config_version: ConfigVersion,
    /// Leaving back ends; they go before members.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<LeavingRecord>,
    /// Leaving machines.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub machines: Vec<MachineRecord>,
    /// Changes of membership.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberRecord>,
}
