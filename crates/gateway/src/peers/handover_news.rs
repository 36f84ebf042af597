//! News of a handover of the order lease.

use ryerouter_core::identity::NodeName;
use serde::{Deserialize, Serialize};

/// The sender has given up the order lease in favour of another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverUpdate {
    /// The node that takes the lease next.
    #[serde(rename = "s")]
    pub successor: NodeName,
    /// Fencing number of the lease that was given up.
    #[serde(rename = "f")]
    pub fence: u64,
    /// How long before the message it was given up, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// For how long from then on the successor comes before all other nodes, in milliseconds.
    #[serde(rename = "d")]
    pub succession_ms: u64,
}
