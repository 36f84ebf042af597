//! An opened connection.

use tokio::net::TcpStream;
use tokio_rustls::client::TlsStream;

use super::MaybeTlsStream;

/// An opened connection, with or without TLS.
pub type ClientStream = MaybeTlsStream<TlsStream<TcpStream>>;
