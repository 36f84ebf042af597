//! Options of a cluster.

use ryerouter_node::logging::LevelSwitch;
use slog::Logger;

use crate::scenario::Scenario;

/// Options of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// The deployment.
    pub scenario: Scenario,
    /// Seed of everything random.
    pub seed: u64,
    /// Traffic threads of each node.
    pub traffic_threads: usize,
    /// Where nodes log.
    pub logger: Logger,
    /// What nodes log.
    pub level: LevelSwitch,
}
