//! Who a node is.

use std::cmp::Reverse;
use std::net::SocketAddr;

use ryerouter_core::identity::{NodeName, ZoneName};
use serde::{Deserialize, Serialize};

use super::Capacity;

/// Who a node is and where it is found.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// Its name.
    #[serde(rename = "n")]
    pub name: NodeName,
    /// Differs between lives of its process, and between nodes.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Where other nodes reach it.
    #[serde(rename = "p")]
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    #[serde(rename = "c")]
    pub caller_address: SocketAddr,
    /// The zone it stands in.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// How much it can bear.
    #[serde(rename = "b", default)]
    pub capacity: Capacity,
}

impl NodeIdentity {
    /// Place among nodes of which the first reads for the others: the larger ones first, since that comes beside
    /// their own requests, and then the names decide.
    pub fn reading_rank(&self) -> (Reverse<Capacity>, &NodeName) {
        (Reverse(self.capacity), &self.name)
    }
}

/// An incarnation that no other life of a process has had: 32 random bits, to keep messages short.
pub fn new_incarnation() -> u64 {
    u64::from(rand::random::<u32>())
}
