//! Cost of a request in units of a limit.

use serde::{Deserialize, Serialize};

/// Requests, tokens and streams: the cost of a request, or what a process requests or is granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LimitCost {
    /// Number of requests.
    #[serde(rename = "r", default)]
    pub requests: u64,
    /// Estimated prompt and output tokens.
    #[serde(rename = "t", default)]
    pub tokens: u64,
    /// Number of concurrent streams.
    #[serde(rename = "s", default)]
    pub streams: u64,
}

impl LimitCost {
    /// Cost of one request of `tokens` tokens.
    pub fn of_request(tokens: u64) -> Self {
        Self {
            requests: 1,
            tokens,
            streams: 1,
        }
    }

    /// Whether all amounts are zero.
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// The remainder after subtracting `other`, at least zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            tokens: self.tokens.saturating_sub(other.tokens),
            streams: self.streams.saturating_sub(other.streams),
        }
    }
}
