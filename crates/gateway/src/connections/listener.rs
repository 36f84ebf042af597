//! Listening for connections.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections that wait to be accepted; the system may allow fewer.
const MAX_WAITING: u32 = 1_024;

/// Listens for connections; must be called within a runtime.
///
/// More of them may wait than by the libraries' default of 128, beyond which the system drops attempts to connect:
/// while a process stands still that has used up its share of a core, callers open several hundred.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A process that is started anew takes the address while connections of the former one are being closed.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(MAX_WAITING)
}
