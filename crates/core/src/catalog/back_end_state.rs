//! What operators want of a back end.

use serde::{Deserialize, Serialize};

/// Operators' wish for a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackEndState {
    /// Takes new work.
    #[default]
    Active,
    /// Finishes its work and takes no new work.
    Draining,
}
