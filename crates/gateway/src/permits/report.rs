//! What a node holds of an engine's permits, as sent to the issuer.

use ryerouter_core::identity::{BackEndName, Incarnation};
use ryerouter_core::permit::{self, Number};
use serde::{Deserialize, Serialize};

/// What a node holds and has returned of an engine's permits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The engine.
    #[serde(rename = "e")]
    pub engine: BackEndName,
    /// Its incarnation.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// Numbers of all permits that the node holds.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub held: Vec<Number>,
    /// Numbers of the permits that it returns.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub returned: Vec<Number>,
    /// How many of those were returned because the engine refused the request for lack of capacity.
    #[serde(rename = "f", default)]
    pub refused: u32,
}

impl Report {
    /// The report for the issuer.
    pub fn permits(&self) -> permit::Report {
        permit::Report {
            held: self.held.clone(),
            returned: self.returned.clone(),
            refused: self.refused,
        }
    }
}
