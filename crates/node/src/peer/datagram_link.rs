//! Datagrams to and from peers.

use std::net::SocketAddr;
use std::sync::Arc;

use ryerouter_core::control::{ControlEvent, PeerMessage};
use ryerouter_wire::peer::{
    MAXIMUM_DATAGRAM_BYTES, PeerCodecError, SEAL_BYTES, decode_datagram, encode_datagram,
};
use slog::{debug, error};
use tokio::net::UdpSocket;

use super::PeerContext;

/// Room for one byte more than allowed, so that a datagram that is too long is not taken for a
/// whole one.
const RECEIVE_BUFFER: usize = MAXIMUM_DATAGRAM_BYTES + SEAL_BYTES + 1;

/// Datagrams to and from peers. They may be lost on the way, and are dropped rather than waited
/// for at both ends.
pub struct DatagramLink {
    socket: UdpSocket,
    context: PeerContext,
}

impl DatagramLink {
    /// Starts to receive.
    pub(crate) fn start(socket: UdpSocket, context: PeerContext) -> Arc<Self> {
        let link = Arc::new(Self { socket, context });
        tokio::spawn(link.clone().receive());
        link
    }

    /// Sends a message, or drops it when the socket takes no more now.
    pub fn send(&self, to: SocketAddr, message: &PeerMessage) {
        let datagram = match self.encode(message) {
            Ok(datagram) => datagram,
            Err(cause) => {
                error!(self.context.logger, "datagram_not_encoded"; "to" => %to, "cause" => %cause);
                self.context.metrics.dropped.inc();
                return;
            }
        };
        match self.socket.try_send_to(&datagram, to) {
            Ok(sent) => {
                self.context.metrics.bytes_sent.inc_by(sent as u64);
                self.context.metrics.messages_sent.inc();
            }
            Err(cause) => {
                debug!(self.context.logger, "datagram_dropped"; "to" => %to, "cause" => %cause);
                self.context.metrics.dropped.inc();
            }
        }
    }

    async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; RECEIVE_BUFFER];
        loop {
            // An error here is an earlier datagram's refusal by its receiver (ICMP); the socket
            // stays usable.
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                tokio::task::yield_now().await;
                continue;
            };
            self.context.metrics.bytes_received.inc_by(length as u64);
            match self.decode(&buffer[..length]) {
                Ok(message) => self.offer(from, message),
                Err(cause) => {
                    debug!(self.context.logger, "datagram_malformed"; "from" => %from, "cause" => %cause);
                    self.context.metrics.malformed.inc();
                }
            }
        }
    }

    fn encode(&self, message: &PeerMessage) -> Result<Vec<u8>, PeerCodecError> {
        let mut datagram = encode_datagram(message)?;
        if let Some(seal) = &self.context.seal {
            seal.load().seal(&mut datagram);
        }
        Ok(datagram)
    }

    fn decode(&self, received: &[u8]) -> Result<PeerMessage, PeerCodecError> {
        match &self.context.seal {
            Some(seal) => decode_datagram(seal.load().open(received)?),
            None => decode_datagram(received),
        }
    }

    fn offer(&self, from: SocketAddr, message: PeerMessage) {
        self.context.metrics.messages_received.inc();
        let event = ControlEvent::PeerMessageReceived { from, message };
        if !self.context.input.offer(event) {
            self.context.metrics.dropped.inc();
        }
    }
}
