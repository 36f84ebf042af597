//! Settings of claims.

use std::time::Duration;

/// Settings of claims; the same on every router process of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimSettings {
    /// How long a claim is remembered. A time-ordered key older than this is never granted; of any
    /// other key two submissions within it run at most once while a majority of its keepers lives.
    pub lifetime: Duration,
    /// Two submissions within this time of a key that is not time-ordered run at most once whatever
    /// restarts. For as long such keys are refused when a majority of their keepers restarted.
    pub opaque_key_lifetime: Duration,
    /// The most that clocks of callers and router processes may differ.
    pub clock_tolerance: Duration,
    /// How long a claiming process waits for votes.
    pub vote_timeout: Duration,
    /// How long after asking a granted request may still be sent to a back end.
    pub grant_validity: Duration,
    /// Time between sends of a release that is not acknowledged.
    pub release_interval: Duration,
    /// Sends of a release before it is given up; the key then stays claimed for the lifetime. They
    /// go on for longer than a silent stream to a keeper is believed (10 s and a connect), so that
    /// some go over the next one.
    pub max_release_sends: u32,
    /// What a caller is told to wait when nothing better is known.
    pub retry_after: Duration,
    /// Claims a keeper remembers at most; beyond it new claims are refused, none is forgotten.
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
