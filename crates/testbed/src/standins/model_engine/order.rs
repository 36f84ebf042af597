//! Fenced orders.

use serde::{Deserialize, Serialize};

/// An order with the number of the lease it was given under.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Number of the lease.
    pub fencing_number: u64,
    /// The order.
    pub order: Order,
}

/// What an engine can be told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Load weights from the weight store and serve them.
    LoadWeights {
        /// Their version.
        weights_version: u64,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Its name.
        adapter: String,
    },
    /// Take another role.
    SetRole {
        /// The role.
        role: EngineRole,
    },
}

/// Whether an engine takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// It takes new work.
    Serving,
    /// It finishes its work.
    Draining,
    /// It waits to be needed.
    Standby,
}
