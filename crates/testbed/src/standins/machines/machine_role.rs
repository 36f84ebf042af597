//! What a machine does.

use serde::{Deserialize, Serialize};

/// What a machine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineRole {
    /// A router process.
    Router,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}
