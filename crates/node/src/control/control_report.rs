//! What the control thread tells operators.

use ryerouter_core::lifecycle::NodePhase;
use ryerouter_core::membership::ClusterStatus;

/// What the control thread tells operators.
#[derive(Debug, Clone)]
pub struct ControlReport {
    /// What this node knows of all nodes.
    pub cluster: ClusterStatus,
    /// Its own phase.
    pub phase: NodePhase,
    /// Whether the object API answered this node's latest call.
    pub object_api_reachable: bool,
}
