//! A datagram socket that can be cut off from others.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use ryerouter_gateway::peers::PeerSocket;
use serde_json::Value;
use tokio::net::UdpSocket;

/// A datagram socket that loses what it sends to some addresses.
pub struct CutSocket {
    pub socket: UdpSocket,
    pub unreachable: Rc<RefCell<BTreeSet<SocketAddr>>>,
    /// Whether its node is of a build that knows nothing of stored records.
    pub is_former: bool,
}

/// Fields of an answer about a stream that such a build does not send.
const LATER_FIELDS: [&str; 2] = ["k", "w"];

fn as_former_build(bytes: &[u8]) -> Vec<u8> {
    let mut datagram: Value = serde_json::from_slice(bytes).expect("datagram");
    if let Some(answer) = datagram.get_mut("u").and_then(Value::as_object_mut) {
        answer.retain(|key, _| !LATER_FIELDS.contains(&key.as_str()));
    }
    serde_json::to_vec(&datagram).expect("datagram")
}

impl PeerSocket for CutSocket {
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        PeerSocket::receive(&self.socket, buffer).await
    }

    fn try_send(&self, bytes: &[u8], receiver: SocketAddr) -> io::Result<()> {
        if self.unreachable.borrow().contains(&receiver) {
            return Ok(());
        }
        match self.is_former {
            true => PeerSocket::try_send(&self.socket, &as_former_build(bytes), receiver),
            false => PeerSocket::try_send(&self.socket, bytes, receiver),
        }
    }
}
