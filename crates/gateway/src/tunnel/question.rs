//! The first line that a node writes on a tunnel.

use ryerouter_core::identity::{BackEndName, NodeName};
use serde::{Deserialize, Serialize};

/// The first line that a node writes on a tunnel: the engine to which it wants to be connected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The node that asks.
    pub from: NodeName,
    /// The engine. The node that is asked looks up its address, and connects to listed engines only.
    pub engine: BackEndName,
}
