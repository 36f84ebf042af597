//! The other nodes, as a shedder sees them.

use super::Load;

/// What a node knows of the other nodes when it decides.
#[derive(Debug, Clone, PartialEq)]
pub struct Peers {
    /// Number of nodes, this one included; at least 1.
    pub nodes: usize,
    /// Whether this node hears no other. It then assumes that each of them does as it does itself.
    pub is_uninformed: bool,
    /// Sum of what the other nodes reported.
    pub others: Load,
}

impl Peers {
    /// The peers of a single node.
    pub fn alone() -> Self {
        Self {
            nodes: 1,
            is_uninformed: false,
            others: Load::default(),
        }
    }
}
