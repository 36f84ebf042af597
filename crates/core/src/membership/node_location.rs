//! Where a node stands.

use serde::{Deserialize, Serialize};

use crate::identity::{DataCentreName, RegionName, ZoneName};

/// Where a node stands.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeLocation {
    /// Its region.
    #[serde(rename = "r")]
    pub region: RegionName,
    /// Its data centre.
    #[serde(rename = "d")]
    pub data_centre: DataCentreName,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: ZoneName,
}
