//! Other nodes.

use std::net::SocketAddr;

/// Other nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// Nodes to ask first.
    pub seeds: Vec<SocketAddr>,
}
