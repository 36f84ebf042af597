//! Datagrams to and from peers.

use std::net::SocketAddr;
use std::sync::Arc;

use ryerouter_core::control::{ControlEvent, PeerMessage};
use ryerouter_wire::peer::{MAXIMUM_DATAGRAM_BYTES, decode_datagram, encode_datagram};
use slog::{Logger, debug, error};
use tokio::net::UdpSocket;

use crate::control::ControlInput;

use super::PeerMetrics;

/// Room for one byte more than allowed, so that a datagram that is too long is not taken for a
/// whole one.
const RECEIVE_BUFFER: usize = MAXIMUM_DATAGRAM_BYTES + 1;

/// Datagrams to and from peers. They may be lost on the way, and are dropped rather than waited
/// for at both ends.
#[derive(Debug)]
pub struct DatagramLink {
    socket: UdpSocket,
    metrics: PeerMetrics,
    logger: Logger,
}

impl DatagramLink {
    /// Starts to receive.
    pub(crate) fn start(
        socket: UdpSocket,
        input: ControlInput,
        metrics: PeerMetrics,
        logger: Logger,
    ) -> Arc<Self> {
        let link = Arc::new(Self {
            socket,
            metrics,
            logger,
        });
        tokio::spawn(link.clone().receive(input));
        link
    }

    /// Sends a message, or drops it when the socket takes no more now.
    pub fn send(&self, to: SocketAddr, message: &PeerMessage) {
        let line = match encode_datagram(message) {
            Ok(line) => line,
            Err(cause) => {
                error!(self.logger, "datagram_not_encoded"; "to" => %to, "cause" => %cause);
                self.metrics.dropped.inc();
                return;
            }
        };
        match self.socket.try_send_to(&line, to) {
            Ok(sent) => {
                self.metrics.bytes_sent.inc_by(sent as u64);
                self.metrics.messages_sent.inc();
            }
            Err(cause) => {
                debug!(self.logger, "datagram_dropped"; "to" => %to, "cause" => %cause);
                self.metrics.dropped.inc();
            }
        }
    }

    async fn receive(self: Arc<Self>, input: ControlInput) {
        let mut buffer = vec![0; RECEIVE_BUFFER];
        loop {
            // An error here is an earlier datagram's refusal by its receiver (ICMP); the socket
            // stays usable.
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                tokio::task::yield_now().await;
                continue;
            };
            self.metrics.bytes_received.inc_by(length as u64);
            match decode_datagram(&buffer[..length]) {
                Ok(message) => self.offer(&input, from, message),
                Err(cause) => {
                    debug!(self.logger, "datagram_malformed"; "from" => %from, "cause" => %cause);
                    self.metrics.malformed.inc();
                }
            }
        }
    }

    fn offer(&self, input: &ControlInput, from: SocketAddr, message: PeerMessage) {
        self.metrics.messages_received.inc();
        let event = ControlEvent::PeerMessageReceived { from, message };
        if !input.offer(event) {
            self.metrics.dropped.inc();
        }
    }
}
