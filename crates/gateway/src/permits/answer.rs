//! Answer to a node's request for a permit.

use std::net::SocketAddr;

use ryerouter_core::permit::Number;
use serde::{Deserialize, Serialize};

/// Answer to a node's request for a permit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Number of the permit at the node that asked.
    #[serde(rename = "n")]
    pub number: Number,
    /// Whether the permit is issued.
    #[serde(rename = "g", default)]
    pub is_granted: bool,
    /// Estimated time until one could be issued, in milliseconds; `None` when this is not known.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub wait_ms: Option<u64>,
    /// Address of the node that issues the engine's permits, if the sender does not.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub issuer: Option<SocketAddr>,
}
