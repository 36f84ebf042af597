//! Whether a node passes on connections of others.

use serde::{Deserialize, Serialize};

/// Whether a node passes on connections of others to engines. Builds without tunnels tell nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TunnelService {
    /// It reaches the engines.
    Open,
    /// It has lost its links to most engines itself.
    CutOff,
}
