//! What router processes say to each other.

use serde::{Deserialize, Serialize};

use crate::claim::ClaimMessage;
use crate::config::ConfigMessage;
use crate::identity::NodeName;
use crate::limit::LimitMessage;
use crate::membership::{GossipMessage, SyncMessage};
use crate::migration::StageMessage;

/// One JSON line between router processes. Tags are short because each node may spend only a few
/// kilobytes a second on control.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Membership probes and what they carry along.
    #[serde(rename = "g")]
    Gossip(GossipMessage),
    /// Exchange of whole membership tables.
    #[serde(rename = "s")]
    Sync(SyncMessage),
    /// Configuration.
    #[serde(rename = "c")]
    Config(ConfigMessage),
    /// Claims on idempotency keys.
    #[serde(rename = "k")]
    Claim {
        /// The sender.
        #[serde(rename = "f")]
        from: NodeName,
        /// The message.
        #[serde(rename = "m")]
        message: ClaimMessage,
    },
    /// Tenants' limits.
    #[serde(rename = "l")]
    Limit {
        /// The sender.
        #[serde(rename = "f")]
        from: NodeName,
        /// The message.
        #[serde(rename = "m")]
        message: LimitMessage,
    },
    /// Measurements of migration stages.
    #[serde(rename = "m")]
    Stage {
        /// The sender.
        #[serde(rename = "f")]
        from: NodeName,
        /// The message.
        #[serde(rename = "m")]
        message: StageMessage,
    },
}
