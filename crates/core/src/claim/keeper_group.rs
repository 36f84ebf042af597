//! A group of claim keepers.

use serde::{Deserialize, Serialize};

use crate::identity::NodeName;

/// Router processes that remember the claims of one part of the keys.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct KeeperGroup {
    /// Rises with each change of the keepers; a keeper answers only asks of the epoch it knows.
    pub epoch: u64,
    /// The keepers.
    pub keepers: Vec<NodeName>,
    /// Keepers of the epoch before, while a majority of them may still answer asks of that epoch;
    /// empty once the change is settled. Until then a keeper that joined does not vote.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub previous: Vec<NodeName>,
}

impl KeeperGroup {
    /// How many keepers must agree.
    pub fn majority(&self) -> usize {
        self.keepers.len() / 2 + 1
    }

    /// Whether `node` is a keeper whose votes count: it did not join in an unsettled change.
    pub fn is_voter(&self, node: &NodeName) -> bool {
        let settled = self.previous.is_empty() || self.previous.contains(node);
        settled && self.keepers.contains(node)
    }
}
