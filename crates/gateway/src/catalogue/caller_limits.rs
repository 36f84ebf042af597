//! Bounds on what a caller may send.

use std::time::Duration;

/// Bounds on what a caller may send, and on how long it may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Most bytes of a request head.
    pub head_bytes: usize,
    /// Most bytes of a request body.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub head_timeout: Duration,
    /// How long a kept connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1_024,
            body_bytes: 4 * 1_024 * 1_024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
