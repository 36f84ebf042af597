//! Records of tables.

use serde::{Deserialize, Serialize};

use super::{LeavingRecord, MachineRecord, MemberRecord};

/// Records of tables that two nodes exchange, and which the sender wants in turn.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TableRecords {
    /// Live members.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberRecord>,
    /// Leaving back ends.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<LeavingRecord>,
    /// Leaving machines.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub machines: Vec<MachineRecord>,
    /// Buckets of members whose records the sender wants.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub wanted_buckets: Vec<usize>,
    /// Whether the sender wants records of leaving back ends and machines.
    #[serde(rename = "wl", default)]
    pub wants_leaving: bool,
}
