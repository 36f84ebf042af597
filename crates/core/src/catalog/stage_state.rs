//! State of a migration stage.

use serde::{Deserialize, Serialize};

/// Whether a migration stage moves, holds or has been taken back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageState {
    /// The share is in force.
    #[default]
    Running,
    /// The share stays in force and does not rise.
    Paused,
    /// All traffic goes to the source data centre.
    RolledBack,
}
