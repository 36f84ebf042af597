//! Proofs that a configuration is current, passed between nodes.

use serde::{Deserialize, Serialize};

/// The sender knows that this version was current.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationFreshness {
    /// Version of the configuration.
    #[serde(rename = "v")]
    pub version: u64,
    /// How long before the message it was certainly current, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// The last message of another node that the sender had when it sent this one.
///
/// It lets the other node bound when this message was sent: after its own message. A datagram alone
/// may be of any age, as when its receiver was paused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageEcho {
    /// The life of the other node, which names the node as well.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Number of its message.
    #[serde(rename = "s")]
    pub sequence: u64,
}
