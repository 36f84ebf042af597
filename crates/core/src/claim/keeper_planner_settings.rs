//! Settings of the choice of keepers.

use std::time::Duration;

/// Settings of the choice of keepers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeeperPlannerSettings {
    /// Keepers in a group, if there are as many nodes; odd, so that none is idle.
    pub group_size: usize,
    /// Groups at most.
    pub max_groups: usize,
    /// The first roster is written when no node has joined for this long, and names only nodes
    /// seen for this long, so that their clocks, too, say that they were up before it. Longer
    /// than the clock tolerance of claims.
    pub bootstrap_quiet_period: Duration,
    /// The first roster waits no longer than this for nodes that join.
    pub bootstrap_max_wait: Duration,
    /// A keeper absent for longer is replaced while a majority of its group is there.
    pub replace_after: Duration,
    /// A group whose majority is off the machine list for longer is founded anew.
    pub recreate_after: Duration,
    /// Time between questions to keepers.
    pub confirm_interval: Duration,
    /// A proposal that is not in force after this time is made again.
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
