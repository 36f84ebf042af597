//! Where a router node stands.

use ryerouter_core::identity::{DataCentreName, NodeName, RegionName, ZoneName};

/// Name and place of a router node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterPlace {
    /// Its name.
    pub name: NodeName,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its zone.
    pub zone: ZoneName,
}
