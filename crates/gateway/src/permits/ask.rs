//! A node's request for a permit, as sent to the issuer.

use ryerouter_core::identity::{BackEndName, Incarnation};
use ryerouter_core::permit::Number;
use serde::{Deserialize, Serialize};

/// A node's request for a permit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The engine.
    #[serde(rename = "e")]
    pub engine: BackEndName,
    /// Its incarnation.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// Number of the permit at the node that asks.
    #[serde(rename = "n")]
    pub number: Number,
    /// How long that node waits for it, in milliseconds.
    #[serde(rename = "w", default)]
    pub wait_ms: u64,
}
