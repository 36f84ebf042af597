//! Settings of the retry budget.

use std::time::Duration;

/// Retry budget shared by all gateways of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct RetrySettings {
    /// Permitted retries per request.
    pub ratio: f64,
    /// Retries that are permitted in each window regardless of the number of requests.
    pub floor: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            floor: 10.0,
            window: Duration::from_secs(10),
        }
    }
}
