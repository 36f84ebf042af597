//! Options of the control thread.

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::identity::{DataCentreName, Incarnation, NodeName, RegionName, ZoneName};

use crate::platform::PlatformLimits;

/// Options of the control thread.
#[derive(Debug, Clone)]
pub struct ControlOptions {
    /// Name of the node, unique among nodes.
    pub name: NodeName,
    /// Rises with each start of the process.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where peers send datagrams and open streams; port 0 takes a free one.
    pub peer_listen: SocketAddr,
    /// Peers to ask first; best several, in different zones.
    pub seeds: Vec<SocketAddr>,
    /// The object API.
    pub object_api: SocketAddr,
    /// The list of machines.
    pub machine_list: SocketAddr,
    /// Limits of calls to the platform.
    pub platform_limits: PlatformLimits,
    /// Time between two reads of the list of machines, on the few nodes that read it.
    pub machine_list_interval: Duration,
    /// Whether it may take the duties that only one node has at a time.
    pub may_direct: bool,
    /// Makes the node's random choices its own.
    pub seed: u64,
}

impl ControlOptions {
    /// Usual time between two reads of the list of machines.
    pub const MACHINE_LIST_INTERVAL: Duration = Duration::from_secs(2);
}
