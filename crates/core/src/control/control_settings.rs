//! What a node is told about itself.

use std::net::SocketAddr;

use crate::identity::{DataCentreName, Incarnation, NodeName, RegionName, ZoneName};

/// What a node is told about itself.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Its name, unique among nodes.
    pub name: NodeName,
    /// Rises with each start of the process: its start time in milliseconds.
    pub incarnation: Incarnation,
    /// Where it takes peers' datagrams and streams.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its zone.
    pub zone: ZoneName,
    /// Peers to ask first; best several, in different zones.
    pub seeds: Vec<SocketAddr>,
    /// Whether it may take the duties that only one node has at a time, such as planning who
    /// keeps claims.
    pub may_direct: bool,
    /// Makes its random choices its own.
    pub seed: u64,
}
