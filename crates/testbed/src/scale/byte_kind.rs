//! What bytes are for.

use ryerouter_core::control::PeerMessage;

/// What bytes are for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ByteKind {
    /// Probes and news.
    Gossip,
    /// Exchanges of tables.
    Sync,
    /// Configuration between nodes.
    Config,
    /// Claims of keys.
    Claims,
    /// Tickets of tenants' limits.
    Limits,
    /// Measurements of migration stages.
    Stages,
    /// Calls of the object API.
    ObjectApi,
}

impl ByteKind {
    /// What a message between nodes is for.
    pub fn of(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Gossip(_) => Self::Gossip,
            PeerMessage::Sync(_) => Self::Sync,
            PeerMessage::Config(_) => Self::Config,
            PeerMessage::Claim { .. } => Self::Claims,
            PeerMessage::Limit { .. } => Self::Limits,
            PeerMessage::Stage { .. } => Self::Stages,
        }
    }
}
