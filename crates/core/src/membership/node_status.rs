//! What a node knows of another.

use std::net::SocketAddr;

use crate::identity::{ConfigVersion, Incarnation, NodeName};
use crate::timestamp::Timestamp;

use super::{MemberState, NodeLocation};

/// What a node knows of another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeStatus {
    /// Its name.
    pub name: NodeName,
    /// Its address for peers.
    pub address: SocketAddr,
    /// Where it stands.
    pub location: NodeLocation,
    /// Its process.
    pub incarnation: Incarnation,
    /// Whether it lives.
    pub state: MemberState,
    /// The configuration it said is in force on it.
    pub config_version: ConfigVersion,
    /// When it said so, if it ever did to this node.
    pub heard_at: Option<Timestamp>,
}
