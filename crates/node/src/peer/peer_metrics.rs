//! Counters of the peer links.

use prometheus::{IntCounter, Registry};

/// Counters of the peer links.
#[derive(Debug, Clone)]
pub struct PeerMetrics {
    /// Bytes sent to peers, datagrams and streams.
    pub bytes_sent: IntCounter,
    /// Bytes received from peers, datagrams and streams.
    pub bytes_received: IntCounter,
    /// Messages sent to peers.
    pub messages_sent: IntCounter,
    /// Messages received from peers.
    pub messages_received: IntCounter,
    /// Lines and datagrams that were no message; each such line closed its stream.
    pub malformed: IntCounter,
    /// Messages dropped because a queue was full or the peer could not be reached.
    pub dropped: IntCounter,
    /// Streams refused because too many were open.
    pub streams_refused: IntCounter,
    /// Streams whose opener or taker showed no acceptable certificate.
    pub handshakes_failed: IntCounter,
}

impl PeerMetrics {
    /// Counters at zero.
    pub fn new() -> Self {
        Self {
            bytes_sent: counter("ryerouter_peer_sent_bytes_total", "Bytes sent to peers"),
            bytes_received: counter(
                "ryerouter_peer_received_bytes_total",
                "Bytes received from peers",
            ),
            messages_sent: counter(
                "ryerouter_peer_messages_sent_total",
                "Messages sent to peers",
            ),
            messages_received: counter(
                "ryerouter_peer_messages_received_total",
                "Messages received from peers",
            ),
            malformed: counter(
                "ryerouter_peer_malformed_total",
                "Lines and datagrams from peers that were no message",
            ),
            dropped: counter(
                "ryerouter_peer_messages_dropped_total",
                "Messages to peers that were dropped",
            ),
            streams_refused: counter(
                "ryerouter_peer_streams_refused_total",
                "Streams of peers refused because too many were open",
            ),
            handshakes_failed: counter(
                "ryerouter_peer_handshakes_failed_total",
                "Streams to and from peers whose TLS handshake failed",
            ),
        }
    }

    /// Shows the counters in a registry.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        let counters = [
            &self.bytes_sent,
            &self.bytes_received,
            &self.messages_sent,
            &self.messages_received,
            &self.malformed,
            &self.dropped,
            &self.streams_refused,
            &self.handshakes_failed,
        ];
        for counter in counters {
            registry.register(Box::new(counter.clone()))?;
        }
        Ok(())
    }
}

impl Default for PeerMetrics {
    fn default() -> Self {
        Self::new()
    }
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("names of counters are fixed and valid")
}
