//! What a node knows of all nodes.

use ryerouter_core::Timestamp;
use ryerouter_core::membership::{ClusterStatus, NodeStatus};

use crate::generated::v1;

/// What a node knows of each node at `now`.
pub fn node_statuses(status: &ClusterStatus, now: Timestamp) -> Vec<v1::NodeStatus> {
    let nodes = status.nodes.iter();
    nodes.map(|node| node_status(node, now)).collect()
}

fn node_status(node: &NodeStatus, now: Timestamp) -> v1::NodeStatus {
    let silence = node.heard_at.map(|heard_at| now.since(heard_at));
    v1::NodeStatus {
        name: node.name.to_string(),
        address: node.address.to_string(),
        region: node.location.region.to_string(),
        data_centre: node.location.data_centre.to_string(),
        zone: node.location.zone.to_string(),
        state: v1::NodeState::from(node.state).into(),
        config_version: node.config_version.0,
        incarnation: node.incarnation.0,
        last_heard_ms: silence.map(|silence| silence.as_millis() as u64),
    }
}
