//! How lost answers are asked for again.

use std::time::Duration;

/// How lost answers are asked for again. Every write carries a change id, so that asking again
/// never makes a change twice.
#[derive(Debug, Clone, Copy)]
pub struct RetryPolicy {
    /// Tries in all.
    pub attempts: u32,
    /// Wait before the second try; doubled before each further one.
    pub first_delay: Duration,
    /// Longest wait for a connection or for one answer.
    pub attempt_timeout: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            attempts: 5,
            first_delay: Duration::from_millis(100),
            attempt_timeout: Duration::from_secs(10),
        }
    }
}
