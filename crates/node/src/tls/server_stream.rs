//! An accepted connection.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpStream;
use tokio_rustls::server::TlsStream;
use tonic::transport::server::{Connected, TcpConnectInfo};

use super::MaybeTlsStream;

/// An accepted connection, with or without TLS.
pub type ServerStream = MaybeTlsStream<TlsStream<TcpStream>>;

impl ServerStream {
    /// The address of the other side.
    pub fn peer_address(&self) -> io::Result<SocketAddr> {
        self.socket().peer_addr()
    }

    fn socket(&self) -> &TcpStream {
        match self {
            Self::Plain(stream) => stream,
            Self::Tls(stream) => stream.get_ref().0,
        }
    }
}

impl Connected for ServerStream {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.socket().connect_info()
    }
}
