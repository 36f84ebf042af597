//! A machine of the machine list.

use std::net::SocketAddr;

use ryerouter_core::identity::ZoneName;
use serde::{Deserialize, Serialize};

/// What runs on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineRole {
    /// A router process.
    Router,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// What the platform knows of a machine; it lags by seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// It runs.
    Live,
    /// It will be taken away.
    Leaving,
}

/// A machine of the machine list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Where its process listens.
    pub address: SocketAddr,
    /// What runs on it.
    pub role: MachineRole,
    /// The zone it stands in.
    pub zone: ZoneName,
    /// What the platform knows of it.
    pub state: MachineState,
}
