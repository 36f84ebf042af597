//! Lines of a stream.

use derive_more::From;
use ryerouter_core::control::PeerMessage;
use serde::{Deserialize, Serialize};

use super::PeerHello;

/// One line of a stream between router processes; the first is a hello, all others are messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, From)]
pub enum StreamLine {
    /// Who opened the stream.
    #[serde(rename = "hello")]
    Hello(PeerHello),
    /// A message.
    #[serde(rename = "m")]
    Message(PeerMessage),
}
