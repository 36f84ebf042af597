//! Settings of claims.

use std::time::Duration;

/// Settings of claims; they must be the same in all router processes of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimSettings {
    /// How long a claim is stored. A time-ordered key older than this is never granted. Two
    /// requests with the same opaque key within this time run at most once as long as a majority of
    /// its keepers stays up.
    pub lifetime: Duration,
    /// Two requests with the same opaque key (one without an issue time) within this time run at
    /// most once, whatever restarts. In return, after a majority of its keepers has restarted, an
    /// opaque key is refused for this time.
    pub opaque_key_lifetime: Duration,
    /// Maximum difference between the clocks of callers and router processes.
    pub clock_tolerance: Duration,
    /// Maximum time that a claiming process waits for votes.
    pub vote_timeout: Duration,
    /// Time from requesting the votes within which a granted request may be sent to a back end.
    pub grant_validity: Duration,
    /// Interval at which an unacknowledged release is sent again.
    pub release_interval: Duration,
    /// Maximum number of times a release is sent; if none is acknowledged, the key stays claimed
    /// for the lifetime. Sends at `release_interval` go on for longer than it takes to detect and
    /// replace a dead stream to a keeper (10 s plus a connect), so that some use the new stream.
    pub max_release_sends: u32,
    /// Default time after which a refused caller may retry.
    pub retry_after: Duration,
    /// Maximum number of claims that a keeper stores. Once it is reached, new claims are refused
    /// and none is evicted.
    pub keeper_capacity: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(24 * 3_600),
            opaque_key_lifetime: Duration::from_secs(15 * 60),
            clock_tolerance: Duration::from_secs(2),
            vote_timeout: Duration::from_millis(500),
            grant_validity: Duration::from_secs(60),
            release_interval: Duration::from_millis(500),
            max_release_sends: 30,
            retry_after: Duration::from_secs(1),
            keeper_capacity: 500_000,
        }
    }
}
