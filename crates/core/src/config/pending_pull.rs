//! A pull on its way.

use std::net::SocketAddr;

use crate::timestamp::Timestamp;

/// A pull of configuration that was not answered yet.
#[derive(Debug, Clone, Copy)]
pub struct PendingPull {
    /// The peer that was asked.
    pub from: SocketAddr,
    /// When.
    pub asked_at: Timestamp,
}
