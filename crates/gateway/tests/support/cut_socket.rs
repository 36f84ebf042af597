//! A datagram socket that can be cut off from others.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use ryerouter_gateway::peers::PeerSocket;
use tokio::net::UdpSocket;

/// A datagram socket that loses what it sends to some addresses.
pub struct CutSocket {
    pub socket: UdpSocket,
    pub unreachable: Rc<RefCell<BTreeSet<SocketAddr>>>,
}

impl PeerSocket for CutSocket {
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        PeerSocket::receive(&self.socket, buffer).await
    }

    fn try_send(&self, bytes: &[u8], receiver: SocketAddr) -> io::Result<()> {
        if self.unreachable.borrow().contains(&receiver) {
            return Ok(());
        }
        PeerSocket::try_send(&self.socket, bytes, receiver)
    }
}
