//! Settings of rollouts.

use std::time::Duration;

/// Settings of rollouts.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutSettings {
    /// Share of a pool's engines that load at once; at least one does.
    pub share_at_once: f64,
    /// The same when the time for older weights runs out.
    pub most_share_at_once: f64,
    /// Time between questions to an engine that loads.
    pub ask_interval: Duration,
    /// Requests that wait in an engine get so long to begin before the order is given.
    pub drain: Duration,
    /// Share of its worth that a request loses when it begins on replaced weights.
    pub stale_share: f64,
    /// What a load costs, in requests: the work that the engine turns away meanwhile, and the cache
    /// that it has to fill again.
    pub load_worth: f64,
    /// A rollout begins this much earlier than it must.
    pub spare_time: Duration,
    /// An accepted order that shows no effect for so long is given again.
    pub repeat_after: Duration,
    /// An engine that can't be ordered is left alone for so long.
    pub rest: Duration,
    /// How long a load takes, until it has been measured.
    pub usual_load: Duration,
    /// An engine is expected to load for this long at most, until it tells otherwise.
    pub expected_load: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            share_at_once: 1.0 / 6.0,
            most_share_at_once: 0.2,
            ask_interval: Duration::from_millis(120),
            drain: Duration::from_millis(400),
            stale_share: 0.2,
            load_worth: 1.5,
            spare_time: Duration::from_millis(2_500),
            repeat_after: Duration::from_millis(900),
            rest: Duration::from_millis(700),
            usual_load: Duration::from_millis(1_000),
            expected_load: Duration::from_secs(3),
        }
    }
}
