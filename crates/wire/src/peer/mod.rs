//! JSON lines between router processes: framing, limits and the first line of a stream.
//!
//! The messages themselves are [`ryerouter_core::control::PeerMessage`].

mod datagram;
mod datagram_seal;
mod json_line_codec;
mod line_budget;
mod peer_codec_error;
mod peer_hello;
mod stream_line;

pub use datagram::{MAXIMUM_DATAGRAM_BYTES, decode_datagram, encode_datagram};
pub use datagram_seal::{DatagramSeal, SEAL_BYTES};
pub use json_line_codec::{JsonLineCodec, MAXIMUM_LINE_BYTES};
pub use line_budget::{FREE_LINE_BYTES, LineBudget};
pub use peer_codec_error::PeerCodecError;
pub use peer_hello::{PEER_PROTOCOL_VERSION, PeerHello};
pub use stream_line::StreamLine;
