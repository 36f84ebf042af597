//! State of a machine.

use serde::{Deserialize, Serialize};

/// State of a machine on the list; a dead machine is not on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// It runs.
    Live,
    /// It will be stopped soon.
    Leaving,
}
