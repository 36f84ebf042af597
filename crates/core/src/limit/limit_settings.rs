//! Settings of tenant limits.

use std::time::Duration;

/// Settings of tenant limits; the same on every router process of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// Time after which unspent permits expire, counted from their request.
    pub permit_validity: Duration,
    /// Duration of the traffic for which permits are requested in advance.
    pub prefetch: Duration,
    /// How long a client waits for one allocator.
    pub request_timeout: Duration,
    /// How long an allocator may grant permits after a majority of its group last confirmed it.
    pub authority_validity: Duration,
    /// Interval at which a client reports to an allocator the streams that it holds.
    pub renew_interval: Duration,
    /// How long an allocator counts the streams of a silent process; longer than streams last.
    pub stream_retention: Duration,
    /// Retry-After time for a caller whose limit is used up.
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
