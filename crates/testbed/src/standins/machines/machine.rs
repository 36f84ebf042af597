//! A machine on the list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{MachineRole, MachineState};

/// A machine on the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Where its process listens.
    pub address: SocketAddr,
    /// What it does.
    pub role: MachineRole,
    /// Its zone.
    pub zone: String,
    /// Its state.
    pub state: MachineState,
}
