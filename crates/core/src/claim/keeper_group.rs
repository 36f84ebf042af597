//! A group of claim keepers.

use serde::{Deserialize, Serialize};

use crate::identity::NodeName;

/// Router processes that store the claims on one partition of the keys.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct KeeperGroup {
    /// Incremented with each change of the keepers. A keeper votes only on requests of the epoch
    /// that it knows.
    pub epoch: u64,
    /// The keepers.
    pub keepers: Vec<NodeName>,
    /// Keepers of the previous epoch, while a majority of them may still vote in that epoch; empty
    /// once the change is completed. Until then, keepers that joined do not vote.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub previous: Vec<NodeName>,
}

impl KeeperGroup {
    /// Number of keepers that form a majority.
    pub fn majority(&self) -> usize {
        self.keepers.len() / 2 + 1
    }

    /// Whether `node` is a keeper that may vote: it did not join in a change that is not yet
    /// completed.
    pub fn is_voter(&self, node: &NodeName) -> bool {
        let is_established = self.previous.is_empty() || self.previous.contains(node);
        is_established && self.keepers.contains(node)
    }
}
