//! An address where connections neither come up nor are refused.

use std::net::{SocketAddr, TcpStream};

use socket2::{Domain, Socket, Type};

/// An address that takes no further connection and refuses none either, while this is held.
pub struct UnansweredAddress {
    pub address: SocketAddr,
    _listening: Socket,
    _filler: TcpStream,
}

impl UnansweredAddress {
    /// On a free port.
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("address");
        socket.bind(&any.into()).expect("bind");
        socket.listen(0).expect("listen");
        let address = socket.local_addr().expect("address");
        let address = address.as_socket().expect("address");
        // Fills the backlog, so that further connections stay half open.
        let filler = TcpStream::connect(address).expect("connect");
        Self {
            address,
            _listening: socket,
            _filler: filler,
        }
    }
}
