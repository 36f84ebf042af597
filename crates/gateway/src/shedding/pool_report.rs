//! Load of a pool, for logs and metrics.

use std::time::Duration;

use ryerouter_core::admission::shedding::Usage;

/// Load of a pool at all nodes, with the decisions of this node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolReport {
    /// Load of all urgencies at all nodes.
    pub total: Usage,
    /// Load of all urgencies at this node.
    pub own: Usage,
    /// Work per second that the engines can begin.
    pub capacity: f64,
    /// Requests decided on at this node.
    pub decided: u32,
    /// Requests refused at this node.
    pub refused: u32,
    /// Number of nodes that share the pool.
    pub nodes: usize,
    /// Whether this node hears no other.
    pub is_uninformed: bool,
}

impl PoolReport {
    /// Time after which the engines have begun all work that waits.
    pub fn wait(&self) -> Duration {
        let seconds = self.total.waiting / self.capacity.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
