//! What a policy does for all router processes of a cluster.

use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::{DispatchAction, DispatchEvent};

use super::simulated_engine::SimulatedEngine;

/// The router processes of a cluster under one policy.
pub(super) trait ClusterRouter {
    /// Takes an event of one router process and appends what that process does.
    ///
    /// Only the omniscient policy may look at `engines`; all others know what events tell them.
    fn handle(
        &mut self,
        node: usize,
        event: DispatchEvent,
        now: Timestamp,
        engines: &[SimulatedEngine],
        actions: &mut Vec<DispatchAction>,
    );
}
