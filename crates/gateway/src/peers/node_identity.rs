//! Who a node is.

use std::net::SocketAddr;

use ryerouter_core::identity::{NodeName, ZoneName};
use serde::{Deserialize, Serialize};

/// Who a node is and where it is found.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// Its name.
    pub name: NodeName,
    /// Differs between lives of its process.
    pub incarnation: u64,
    /// Where other nodes reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// The zone it stands in.
    pub zone: ZoneName,
}

/// An incarnation that no earlier life of a process has had.
pub fn new_incarnation() -> u64 {
    rand::random()
}
