//! A line of the machine list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identity::ZoneName;

use super::{MachineRole, MachineState};

/// One machine as the platform's list shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineEntry {
    /// Where its process listens: of a router the address for peers.
    pub address: SocketAddr,
    /// What runs on it.
    pub role: MachineRole,
    /// Where it stands.
    pub zone: ZoneName,
    /// Whether it is leaving.
    pub state: MachineState,
}
