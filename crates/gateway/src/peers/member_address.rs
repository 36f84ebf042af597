//! Where another node is found.

use std::net::SocketAddr;

use ryerouter_core::identity::NodeName;
use serde::{Deserialize, Serialize};

/// Where another node is found.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberAddress {
    /// Its name.
    pub name: NodeName,
    /// Where other nodes reach it.
    pub address: SocketAddr,
}
