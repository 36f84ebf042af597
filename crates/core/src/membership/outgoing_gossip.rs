//! Gossip to be sent.

use std::net::SocketAddr;

use super::{GossipKind, MemberRecord};

/// Gossip to be sent; news is added when it goes out.
#[derive(Debug, Clone)]
pub struct OutgoingGossip {
    /// The peer.
    pub to: SocketAddr,
    /// What is asked or answered.
    pub kind: GossipKind,
    /// What is believed of the receiver itself, when it should refute that.
    pub about_receiver: Option<MemberRecord>,
    /// Whether news may go along.
    pub carries_news: bool,
}
