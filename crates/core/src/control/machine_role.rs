//! What runs on a machine.

use serde::{Deserialize, Serialize};

/// What runs on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineRole {
    /// A router process.
    Router,
    /// A model engine.
    Engine,
    /// A plain service process.
    Service,
}
