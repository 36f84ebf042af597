//! First line of a stream.

use std::net::SocketAddr;

use ryerouter_core::identity::NodeName;
use serde::{Deserialize, Serialize};

/// Version of the protocol between router processes; a process closes streams of another version.
pub const PEER_PROTOCOL_VERSION: u32 = 1;

/// First line of a stream between router processes: who opened it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHello {
    /// Version of the protocol.
    pub protocol: u32,
    /// Name of the process that opened the stream.
    pub name: NodeName,
    /// Where that process takes peers' datagrams and streams.
    pub address: SocketAddr,
}
