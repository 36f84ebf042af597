//! Kinds of gossip.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identity::NodeName;

/// What a gossip message asks or answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipKind {
    /// Asks for an acknowledgement.
    #[serde(rename = "p")]
    Ping {
        /// Echoed by the acknowledgement.
        #[serde(rename = "q")]
        sequence: u64,
        /// The node it is meant for; another one at the same address must not answer.
        #[serde(rename = "t")]
        target: NodeName,
    },
    /// Answers a ping.
    #[serde(rename = "k")]
    Acknowledge {
        /// Sequence of the ping.
        #[serde(rename = "q")]
        sequence: u64,
    },
    /// Asks a third node to ping `target` and to pass its acknowledgement on.
    #[serde(rename = "r")]
    PingRequest {
        /// Echoed by the acknowledgement.
        #[serde(rename = "q")]
        sequence: u64,
        /// The node to ping.
        #[serde(rename = "t")]
        target: NodeName,
        /// Its address.
        #[serde(rename = "a")]
        address: SocketAddr,
    },
    /// Carries news only.
    #[serde(rename = "n")]
    News,
}
