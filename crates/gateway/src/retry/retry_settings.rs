//! Settings of the retry budget.

use std::time::Duration;

/// A budget of retries that all gateways of a deployment share.
#[derive(Debug, Clone, PartialEq)]
pub struct RetrySettings {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in a window that need no requests.
    pub floor: f64,
    /// The window.
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
