//! What a request takes of a limit.

use serde::{Deserialize, Serialize};

/// Requests, tokens and streams: what a request takes, what a process asks for or gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LimitCost {
    /// Requests.
    #[serde(rename = "r", default)]
    pub requests: u64,
    /// Prompt and output tokens (estimate).
    #[serde(rename = "t", default)]
    pub tokens: u64,
    /// Streams at once.
    #[serde(rename = "s", default)]
    pub streams: u64,
}

impl LimitCost {
    /// What one request of `tokens` tokens takes.
    pub fn of_request(tokens: u64) -> Self {
        Self {
            requests: 1,
            tokens,
            streams: 1,
        }
    }

    /// Whether nothing is asked for.
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// What is left of this after `other` was had.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            tokens: self.tokens.saturating_sub(other.tokens),
            streams: self.streams.saturating_sub(other.streams),
        }
    }
}
