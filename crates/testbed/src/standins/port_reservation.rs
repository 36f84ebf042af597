//! Ports that stay with their owner while nothing listens there.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::TcpSocket;

/// A bound socket that never listens. While it lives, the kernel gives its port to no outgoing
/// connection, so a server that died can listen there again; connections are refused meanwhile.
#[derive(Debug)]
pub struct PortReservation {
    // Held for its binding only.
    _socket: TcpSocket,
    address: SocketAddr,
}

impl PortReservation {
    /// Reserves a free loopback port.
    ///
    /// # Errors
    ///
    /// There is none.
    pub fn any() -> io::Result<Self> {
        Self::of((Ipv4Addr::LOCALHOST, 0).into())
    }

    /// Reserves the port of an address at which nothing listens.
    ///
    /// # Errors
    ///
    /// Something listens there, or an outgoing connection has the port.
    pub fn of(address: SocketAddr) -> io::Result<Self> {
        let socket = bound_socket(address)?;
        Ok(Self {
            address: socket.local_addr()?,
            _socket: socket,
        })
    }

    /// The address it holds.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// A socket bound to an address that may be reserved as well.
pub fn bound_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
