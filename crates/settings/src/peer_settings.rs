//! Other nodes.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Other nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// Nodes to ask first.
    pub seeds: Vec<SocketAddr>,
    /// File of the keys that nodes share; without it datagrams are not checked.
    pub key_file: Option<PathBuf>,
}
