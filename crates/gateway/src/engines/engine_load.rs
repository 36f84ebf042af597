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

impl EngineLoad {
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
