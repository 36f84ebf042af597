//! Whether a node serves.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a node serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// Has no configuration yet.
    #[default]
    #[display("starting")]
    Starting,
    /// Serves.
    #[display("ready")]
    Ready,
    /// Finishes what it has and takes no new callers.
    #[display("leaving")]
    Leaving,
}
