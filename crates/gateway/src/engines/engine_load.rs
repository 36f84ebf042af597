//! Load on an engine.

use serde::{Deserialize, Serialize};

/// Load of requests that gateways have sent to an engine and that are still in progress.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Number of requests.
    #[serde(rename = "r")]
    pub requests: u32,
    /// Estimated number of prompt tokens still to be prefilled.
    #[serde(rename = "u")]
    pub unread_tokens: u32,
    /// Estimated number of KV memory tokens that the requests occupy.
    #[serde(rename = "k")]
    pub kv_tokens: u32,
}

/// Share of an engine's slots from which its requests slow each other down noticeably.
const SIGNIFICANT_SLOT_SHARE: f64 = 0.125;
/// A single request is never significant, even on an engine with few slots.
const MIN_SIGNIFICANT_REQUESTS: f64 = 2.0;
/// Queued prefill time that noticeably delays a further request: a quarter of the shortest target
/// latencies, which are one second.
const SIGNIFICANT_PREFILL_MS: f64 = 250.0;

impl EngineLoad {
    /// Whether the load noticeably affects a further request. Most single requests are complete
    /// before a report of them arrives, so in a zone with many nodes smaller loads are not
    /// reported.
    pub fn is_significant(self, slots: u32, prefill_tokens_per_ms: f64) -> bool {
        let filled = (f64::from(slots) * SIGNIFICANT_SLOT_SHARE).max(MIN_SIGNIFICANT_REQUESTS);
        let is_filled = f64::from(self.requests) >= filled;
        let prefill_ms = f64::from(self.unread_tokens) / prefill_tokens_per_ms;
        is_filled || prefill_ms >= SIGNIFICANT_PREFILL_MS
    }

    /// Adds `other` to this load.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
        self.kv_tokens = self.kv_tokens.saturating_add(other.kv_tokens);
    }

    /// Subtracts `other` from this load.
    pub fn remove(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.kv_tokens = self.kv_tokens.saturating_sub(other.kv_tokens);
    }
}
