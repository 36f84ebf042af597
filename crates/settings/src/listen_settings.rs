//! Addresses to listen on.

use std::net::SocketAddr;

/// Addresses to listen on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenSettings {
    /// For callers, health, readiness and metrics.
    pub callers: SocketAddr,
    /// For the operator RPC.
    pub rpc: SocketAddr,
    /// For other nodes, TCP and UDP.
    pub peers: SocketAddr,
}
