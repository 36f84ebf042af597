//! Limits of calls to the platform.

use std::time::Duration;

/// Limits of calls to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformLimits {
    /// Longest time for one call, from connecting to the last byte of the answer.
    pub call_timeout: Duration,
    /// Longest silence of a watch before it is opened again.
    pub watch_idle_timeout: Duration,
    /// Largest answer in bytes.
    pub maximum_answer_bytes: usize,
    /// Longest line of a watch in bytes.
    pub maximum_watch_line_bytes: usize,
}

impl Default for PlatformLimits {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(2),
            watch_idle_timeout: Duration::from_secs(60),
            maximum_answer_bytes: 64 << 20,
            maximum_watch_line_bytes: 16 << 20,
        }
    }
}
