//! Tells other nodes which engines have left, after the source has come back from a copy.

use ryerouter_core::identity::{BackEndName, Incarnation};
use serde::{Deserialize, Serialize};

/// An engine that has left or is leaving, which a copy of the source may not tell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureUpdate {
    /// The engine.
    #[serde(rename = "n")]
    pub name: BackEndName,
    /// Its incarnation, if it reports one.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// Whether its entry has gone; otherwise it is leaving.
    #[serde(rename = "g", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_gone: bool,
    /// Whether it had said that it leaves before its entry went.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub was_leaving: bool,
}
