//! Sockets for peers.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// Attempts to find a port that is free for both protocols when any port will do.
const PORT_ATTEMPTS: usize = 16;

/// The sockets at which peers reach this process: TCP and UDP at the same address.
#[derive(Debug)]
pub struct PeerSockets {
    address: SocketAddr,
    datagrams: UdpSocket,
    streams: TcpListener,
}

impl PeerSockets {
    /// Binds both sockets; port 0 takes a port that is free for both.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let mut outcome = Self::bind_once(address);
        for _ in 1..PORT_ATTEMPTS {
            if outcome.is_ok() || address.port() != 0 {
                break;
            }
            outcome = Self::bind_once(address);
        }
        outcome
    }

    /// Where peers reach this process.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The sockets for datagrams and for streams.
    pub(crate) fn into_parts(self) -> (UdpSocket, TcpListener) {
        (self.datagrams, self.streams)
    }

    fn bind_once(address: SocketAddr) -> io::Result<Self> {
        let streams = TcpListener::bind(address)?;
        let address = streams.local_addr()?;
        let datagrams = UdpSocket::bind(address)?;
        streams.set_nonblocking(true)?;
        datagrams.set_nonblocking(true)?;
        Ok(Self {
            address,
            datagrams,
            streams,
        })
    }
}
