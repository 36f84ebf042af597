//! Question which engines other nodes reach.

use ryerouter_core::identity::{BackEndName, NodeName};
use serde::{Deserialize, Serialize};

use super::readable::readable;

/// Maximum number of engines of a question. Enough to tell nodes apart, while a question costs its
/// receivers a report of each engine, and its names must not fill a datagram.
pub const MAX_QUESTIONED_ENGINES: usize = 16;

/// Asks some nodes which engines they reach, of those that the holder of the order lease doesn't.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachQuestion {
    /// Fencing number of the holder.
    #[serde(rename = "f")]
    pub fence: u64,
    /// Rises with each question of one holder.
    #[serde(rename = "n")]
    pub round: u64,
    /// Engines with older weights that do not answer the holder.
    #[serde(rename = "e", deserialize_with = "readable")]
    pub engines: Vec<BackEndName>,
    /// The nodes that are asked.
    #[serde(rename = "c", deserialize_with = "readable")]
    pub candidates: Vec<NodeName>,
}

impl ReachQuestion {
    /// Whether a node is asked.
    pub fn is_for(&self, node: &NodeName) -> bool {
        self.candidates.contains(node)
    }
}
