//! Work at an engine.

use serde::{Deserialize, Serialize};

/// Work that gateways have sent to an engine and that has not ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests.
    #[serde(rename = "r")]
    pub requests: u32,
    /// Prompt tokens that are yet to be read (estimate).
    #[serde(rename = "u")]
    pub unread_tokens: u32,
    /// Tokens of KV memory that the requests occupy (estimate).
    #[serde(rename = "k")]
    pub kv_tokens: u32,
}

/// Share of an engine's slots from which its requests slow each other down noticeably.
const SIGNIFICANT_SLOT_SHARE: f64 = 0.125;
/// A single request leaves an engine with few slots free for others too.
const MIN_SIGNIFICANT_REQUESTS: f64 = 2.0;
/// Time of reading that a further request notices: a quarter of the shortest targets, which are a second.
const SIGNIFICANT_PREFILL_MS: f64 = 250.0;

impl EngineLoad {
    /// Whether a further request would notice it. A single one elsewhere is mostly over by the time that others hear
    /// of it, so in a zone of many nodes less than this is told to nobody.
    pub fn is_significant(self, slots: u32, prefill_tokens_per_ms: f64) -> bool {
        let filled = (f64::from(slots) * SIGNIFICANT_SLOT_SHARE).max(MIN_SIGNIFICANT_REQUESTS);
        let is_filled = f64::from(self.requests) >= filled;
        let prefill_ms = f64::from(self.unread_tokens) / prefill_tokens_per_ms;
        is_filled || prefill_ms >= SIGNIFICANT_PREFILL_MS
    }

    /// Adds other work.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
        self.kv_tokens = self.kv_tokens.saturating_add(other.kv_tokens);
    }

    /// Takes other work off.
    pub fn remove(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.kv_tokens = self.kv_tokens.saturating_sub(other.kv_tokens);
    }
}
