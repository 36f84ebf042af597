//! Settings of tenant limits.

use std::time::Duration;

/// Settings of tenant limits; the same on every router process of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// Unspent tickets lapse this long after they were asked for.
    pub permit_validity: Duration,
    /// Traffic of this long a time is asked for ahead.
    pub prefetch: Duration,
    /// How long a borrower waits for one bank.
    pub request_timeout: Duration,
    /// How long a bank may hand out tickets after a majority of its group last confirmed it.
    pub authority_validity: Duration,
    /// Time between two reports of running streams to a bank.
    pub renew_interval: Duration,
    /// A bank counts streams of a silent process for this long: longer than streams last.
    pub stream_retention: Duration,
    /// What a caller is told to wait when the limit is spent.
    pub retry_after: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            permit_validity: Duration::from_secs(2),
            prefetch: Duration::from_millis(1_000),
            request_timeout: Duration::from_millis(400),
            authority_validity: Duration::from_secs(2),
            renew_interval: Duration::from_secs(2),
            stream_retention: Duration::from_secs(600),
            retry_after: Duration::from_millis(500),
        }
    }
}
