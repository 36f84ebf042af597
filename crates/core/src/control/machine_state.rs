//! Whether a machine is leaving.

use serde::{Deserialize, Serialize};

/// Whether a machine is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// It is there.
    Live,
    /// It is about to be taken away.
    Leaving,
}
