//! Settings of leases.

use std::time::Duration;

/// Settings of leases; the same on every router process of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// How long a lease lasts from when its write was sent.
    pub duration: Duration,
    /// Time between renewals.
    pub renew_interval: Duration,
    /// Time between looks of a candidate at another's lease.
    pub look_interval: Duration,
    /// A candidate takes a lease that did not change for the duration and this much longer.
    pub takeover_margin: Duration,
    /// A lease that its holder gave up is taken this much later: orders that the former holder gave
    /// last must be this much older than the first ones of the next.
    pub release_margin: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(10),
            renew_interval: Duration::from_secs(3),
            look_interval: Duration::from_secs(2),
            takeover_margin: Duration::from_secs(2),
            release_margin: Duration::ZERO,
        }
    }
}
