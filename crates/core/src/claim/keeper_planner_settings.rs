//! Settings of the keeper planner.

use std::time::Duration;

/// Settings of the [`KeeperPlanner`](super::KeeperPlanner).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeeperPlannerSettings {
    /// Keepers per group, if there are enough nodes. Odd, because an even group tolerates no more
    /// failures than one with a keeper less.
    pub group_size: usize,
    /// Maximum number of groups.
    pub max_groups: usize,
    /// The first roster is written once no node has joined for this time, and contains only nodes
    /// seen for at least this time. This is longer than the clock tolerance of claims, so that by
    /// its own clock, too, each of these nodes was up before the roster was written.
    pub bootstrap_quiet_period: Duration,
    /// Maximum time that the first roster waits for further nodes to join.
    pub bootstrap_max_wait: Duration,
    /// A keeper is replaced after being absent for this time, provided that a majority of its group
    /// stays.
    pub replace_after: Duration,
    /// A group is recreated after a majority of its keepers has been missing from the machine list
    /// for this time.
    pub recreate_after: Duration,
    /// Interval between requests to the previous keepers to confirm a new epoch.
    pub confirm_interval: Duration,
    /// Time after which a proposed roster that has not taken effect is proposed again.
    pub proposal_timeout: Duration,
}

impl Default for KeeperPlannerSettings {
    fn default() -> Self {
        Self {
            group_size: 5,
            max_groups: 128,
            bootstrap_quiet_period: Duration::from_secs(3),
            bootstrap_max_wait: Duration::from_secs(10),
            replace_after: Duration::from_secs(60),
            recreate_after: Duration::from_secs(600),
            confirm_interval: Duration::from_secs(1),
            proposal_timeout: Duration::from_secs(15),
        }
    }
}
