//! A ping on behalf of another node.

use std::net::SocketAddr;

use crate::timestamp::Timestamp;

/// A ping on behalf of another node.
#[derive(Debug, Clone, Copy)]
pub struct Relay {
    /// The node that asked.
    pub origin: SocketAddr,
    /// The sequence it gave.
    pub sequence: u64,
    /// When it asked.
    pub asked_at: Timestamp,
}
