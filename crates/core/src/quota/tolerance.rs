//! How exactly limits are to be held.

use std::time::Duration;

/// How exactly limits are to be held, as the operator sets it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// A tenant may use its rate times this time, and its burst, in any such time.
    pub window: Duration,
    /// Share of that by which it may be exceeded, as the nodes need time to hear of each other.
    pub overage: f64,
    /// Amount by which it may be exceeded on top.
    pub slack: f64,
}

impl Default for Tolerance {
    /// A window in which news reach every node many times over, and nothing beyond the limit.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            overage: 0.0,
            slack: 0.0,
        }
    }
}
