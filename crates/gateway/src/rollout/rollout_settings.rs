//! Settings of rollouts.

use std::time::Duration;

/// Settings of rollouts.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutSettings {
    /// Share of a pool's engines that load at once; at least one does.
    pub share_at_once: f64,
    /// Time between questions to an engine that loads.
    pub ask_interval: Duration,
    /// An order that shows no effect for so long is given again.
    pub repeat_after: Duration,
    /// An engine is expected to load for this long at most, until it tells otherwise.
    pub expected_load: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            share_at_once: 1.0 / 6.0,
            ask_interval: Duration::from_millis(250),
            repeat_after: Duration::from_millis(900),
            expected_load: Duration::from_secs(3),
        }
    }
}
