//! What nodes tell each other of a node.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identity::{Incarnation, NodeName};

use super::{MemberState, NodeLocation};

/// What nodes tell each other of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    #[serde(rename = "n")]
    pub name: NodeName,
    /// Its process; rises also when the node refutes a suspicion.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// What is believed of it.
    #[serde(rename = "s")]
    pub state: MemberState,
    /// Its address for peers.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Where it stands.
    #[serde(flatten)]
    pub location: NodeLocation,
}

impl MemberRecord {
    /// Whether this record replaces `other` of the same node.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
