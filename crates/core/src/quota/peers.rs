//! The other nodes, as quotas see them.

use super::PeerUsage;

/// Share of the remaining limit that reachable nodes use while some nodes are silent. Which nodes
/// are silent, and since when, differs between nodes by up to a few seconds.
const UNCERTAINTY_FACTOR: f64 = 0.8;

/// What a node knows of the other nodes when it decides.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Peers {
    /// Maximum number of nodes that may exist, this one included; at least 1.
    pub nodes: usize,
    /// Number of nodes that are silent but may still admit requests. Their equal parts of the limit
    /// are left to them.
    pub silent: usize,
    /// Whether this node does not know what the others admit, because it receives no reports or has
    /// just started. It then assumes that the others admit as much as it does itself.
    pub is_uninformed: bool,
    /// Sum of the usage that the other nodes reported.
    pub others: PeerUsage,
}

impl Peers {
    /// The peers of a single node.
    pub fn alone() -> Self {
        Self {
            nodes: 1,
            silent: 0,
            is_uninformed: false,
            others: PeerUsage::default(),
        }
    }

    /// Share of the limit that is left to the nodes that are not silent.
    pub(super) fn share_of_reachable(&self) -> f64 {
        let nodes = self.nodes.max(1);
        let silent = self.silent.min(nodes - 1);
        if silent == 0 {
            return 1.0;
        }
        (1.0 - silent as f64 / nodes as f64) * UNCERTAINTY_FACTOR
    }
}
