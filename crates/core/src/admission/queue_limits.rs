//! Bounds of the queue.

use std::time::Duration;

/// Bounds of the queue of one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Maximum number of waiting requests.
    pub capacity: usize,
    /// Maximum number of waiting batch requests; the rest of the capacity is reserved for
    /// interactive requests.
    pub batch_capacity: usize,
    /// Waiting time after which a batch request is promoted: it then takes turns with interactive
    /// requests, so that it never starves.
    pub batch_promotion: Duration,
    /// One in this many turns goes to promoted batch requests while interactive requests wait as
    /// well.
    pub turns_per_promotion: u32,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            capacity: 1_024,
            batch_capacity: 768,
            batch_promotion: Duration::from_secs(5),
            turns_per_promotion: 4,
        }
    }
}
