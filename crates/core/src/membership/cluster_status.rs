//! What a node knows of all nodes.

use crate::identity::ConfigVersion;

use super::NodeStatus;

/// What a node knows of all nodes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClusterStatus {
    /// The newest configuration that any node is known to have.
    pub newest_config: ConfigVersion,
    /// Nodes in order of name, this one among them.
    pub nodes: Vec<NodeStatus>,
}
