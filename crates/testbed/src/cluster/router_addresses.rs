//! Where a router node listens.

use std::io;
use std::net::SocketAddr;

use crate::standins::PortReservation;

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

/// Ports of a router node, kept for it while it is away.
#[derive(Debug)]
pub struct ReservedAddresses {
    callers: PortReservation,
    operators: PortReservation,
    peers: PortReservation,
}

impl ReservedAddresses {
    /// Free loopback ports.
    ///
    /// # Errors
    ///
    /// There are none.
    pub fn any() -> io::Result<Self> {
        Ok(Self {
            callers: PortReservation::any()?,
            operators: PortReservation::any()?,
            peers: PortReservation::any()?,
        })
    }

    /// The addresses.
    pub fn addresses(&self) -> RouterAddresses {
        RouterAddresses {
            callers: self.callers.address(),
            operators: self.operators.address(),
            peers: self.peers.address(),
        }
    }
}
