//! Settings of the order director.

use std::time::Duration;

/// Settings of the order director.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DirectorSettings {
    /// Time between reports of an engine that is as it should be.
    pub settled_poll_interval: Duration,
    /// Time between reports of an engine that has been ordered something or can't be reached.
    pub busy_poll_interval: Duration,
    /// Reports asked for at once.
    pub max_polls: usize,
    /// A weight load that no report shows to be done is ordered again after this time, and counts
    /// as running until then.
    pub load_timeout: Duration,
    /// A new holder loads no weights for this long: loads that the holder before has ordered may
    /// still be running.
    pub takeover_delay: Duration,
    /// An order without effect is given again after this time.
    pub order_timeout: Duration,
    /// A rollout's share is written when it has risen by this many thousandths, or to all.
    pub share_step_permille: u16,
    /// A change that is not in force after this time is proposed again.
    pub proposal_timeout: Duration,
}

impl Default for DirectorSettings {
    fn default() -> Self {
        Self {
            settled_poll_interval: Duration::from_secs(300),
            busy_poll_interval: Duration::from_secs(1),
            max_polls: 16,
            load_timeout: Duration::from_secs(60),
            takeover_delay: Duration::from_secs(10),
            order_timeout: Duration::from_secs(10),
            share_step_permille: 50,
            proposal_timeout: Duration::from_secs(15),
        }
    }
}
