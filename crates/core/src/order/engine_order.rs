//! Orders.

use serde::{Deserialize, Serialize};

use crate::identity::{AdapterName, WeightsVersion};

use super::EngineRole;

/// What an engine is told to do. Each may be repeated without harm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Serve these weights.
    LoadWeights {
        /// Their version.
        weights_version: WeightsVersion,
    },
    /// Serve this adapter as well.
    LoadAdapter {
        /// Its name.
        adapter: AdapterName,
    },
    /// Take this role.
    SetRole {
        /// The role.
        role: EngineRole,
    },
}
