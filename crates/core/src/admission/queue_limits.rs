//! Bounds of the queue.

use std::time::Duration;

/// Bounds of the queue of one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Most requests that wait.
    pub capacity: usize,
    /// Most batch requests that wait; the rest of the capacity is kept for interactive ones.
    pub batch_capacity: usize,
    /// After this long, batch work takes its turn with interactive work, so that it never starves.
    pub batch_promotion: Duration,
    /// Every so many turns go to promoted batch work while interactive work waits as well.
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
