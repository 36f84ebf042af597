//! Settings of migration stages.

use std::time::Duration;

/// Settings of migration stages; the same on every router process of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MigrationSettings {
    /// Attempts at the target without which nothing is judged.
    pub min_attempts: u64,
    /// The share does not rise while the target's 99th percentile of the time to first token is
    /// above this many thousandths of the source's.
    pub max_first_token_ratio_permille: u64,
    /// The share does not rise while the target's hit rate is below this many thousandths of the
    /// source's.
    pub min_hit_rate_ratio_permille: u64,
    /// The share does not rise while the target fails this many thousandths more often.
    pub max_more_errors_permille: u64,
    /// After so many hold times in a row without a rise the stage is paused.
    pub max_holds: u32,
    /// Shortest hold time, for stages that give none.
    pub min_hold: Duration,
    /// Time between collections of measurements.
    pub collect_interval: Duration,
    /// A change that is not in force after this time is proposed again.
    pub proposal_timeout: Duration,
}

impl Default for MigrationSettings {
    fn default() -> Self {
        Self {
            min_attempts: 100,
            max_first_token_ratio_permille: 1_500,
            min_hit_rate_ratio_permille: 800,
            max_more_errors_permille: 5,
            max_holds: 6,
            min_hold: Duration::from_secs(30),
            collect_interval: Duration::from_secs(10),
            proposal_timeout: Duration::from_secs(15),
        }
    }
}
