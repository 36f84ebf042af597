//! A node through which engines can be reached.

use std::net::SocketAddr;

use crate::identity::{NodeName, ZoneName};

/// How far away a node is; nearer compares as less.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerDistance {
    /// In the same zone.
    Zone,
    /// In another zone of the region.
    Region,
    /// In another region.
    Remote,
}

/// A node through which engines can be reached.
#[derive(Debug, Clone, PartialEq)]
pub struct TunnelPeer {
    /// Its name.
    pub name: NodeName,
    /// Identifies its process.
    pub id: u64,
    /// Where it accepts tunnels.
    pub address: SocketAddr,
    /// The zone it stands in.
    pub zone: ZoneName,
    /// How far away it is.
    pub distance: PeerDistance,
    /// Whether it says that it has lost its links to engines itself.
    pub is_cut_off: bool,
    /// How much it can bear relative to other nodes.
    pub weight: f64,
}
