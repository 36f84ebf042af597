//! The socket that carries datagrams between nodes.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use tokio::net::UdpSocket;

/// A socket that carries datagrams between nodes. Datagrams may be lost, repeated and reordered.
pub trait PeerSocket {
    /// Receives the next datagram into `buffer`; returns its length and its sender. No datagram is
    /// lost when the future is dropped.
    fn receive(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;

    /// Sends a datagram, or fails at once if the socket can't take it now.
    fn try_send(&self, bytes: &[u8], receiver: SocketAddr) -> io::Result<()>;
}

impl PeerSocket for UdpSocket {
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.recv_from(buffer).await
    }

    fn try_send(&self, bytes: &[u8], receiver: SocketAddr) -> io::Result<()> {
        self.try_send_to(bytes, receiver).map(|_| ())
    }
}
