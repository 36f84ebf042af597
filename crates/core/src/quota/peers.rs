//! The other nodes as limits see them.

use super::PeerUsage;

/// While some nodes are silent, which of them and since when differs from node to node by up to a
/// few seconds, so the others use this share of what is left to them.
const UNCERTAINTY_FACTOR: f64 = 0.8;

/// What a node knows of the others when it decides.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Peers {
    /// All nodes that there may be, this one included; 1 or more.
    pub nodes: usize,
    /// Those of them that are silent and may still admit requests: their even parts of the limit
    /// are left to them.
    pub silent: usize,
    /// Whether this node does not know what the others admit: it hears nobody, or was just
    /// started. It then takes the others to do as it does itself.
    pub is_uninformed: bool,
    /// What the others told, summed up.
    pub others: PeerUsage,
}

impl Peers {
    /// The peers of a node that is alone.
    pub fn alone() -> Self {
        Self {
            nodes: 1,
            silent: 0,
            is_uninformed: false,
            others: PeerUsage::default(),
        }
    }

    /// Share of the limit that is left for the nodes that are heard.
    pub(super) fn share_of_reachable(&self) -> f64 {
        let nodes = self.nodes.max(1);
        let silent = self.silent.min(nodes - 1);
        if silent == 0 {
            return 1.0;
        }
        (1.0 - silent as f64 / nodes as f64) * UNCERTAINTY_FACTOR
    }
}
