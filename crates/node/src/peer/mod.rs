//! Links between router processes: JSON lines in datagrams for gossip, and over TCP streams for
//! everything that is too large for a datagram or must not be lost silently.
//!
//! A stream carries messages one way, from the process that opened it; the answer comes over the
//! stream that the other process opens. So each process decides alone how many connections it
//! opens, and a process is only ever addressed where it listens.

mod datagram_link;
mod peer_context;
mod peer_keys_file;
mod peer_metrics;
mod peer_sockets;
mod peer_tls;
mod stream_end;
mod stream_limits;
mod stream_link;
mod stream_links;
#[cfg(test)]
mod stream_links_tests;
mod stream_server;

pub use datagram_link::DatagramLink;
pub use peer_keys_file::{PeerKeysError, read_peer_keys};
pub use peer_metrics::PeerMetrics;
pub use peer_sockets::PeerSockets;
pub use peer_tls::PeerTls;
pub use stream_links::StreamLinks;
pub use stream_server::StreamServer;

pub(crate) use peer_context::PeerContext;
use stream_end::StreamEnd;
use stream_limits::StreamLimits;
use stream_link::StreamLink;
