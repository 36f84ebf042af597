//! Where a router node listens.

use std::net::{Ipv4Addr, SocketAddr};

/// Where a router node listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
}

impl RouterAddresses {
    /// Free loopback ports.
    pub fn any() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            callers: any,
            operators: any,
            peers: any,
        }
    }
}
