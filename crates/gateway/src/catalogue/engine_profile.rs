//! Capacity of the engines of a pool.

/// Capacity of each engine of a pool, as configured.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens of KV memory.
    pub kv_tokens: u32,
    /// Bytes of KV memory for one token.
    pub kv_token_bytes: f64,
    /// Bandwidth between engines, in megabits a second.
    pub link_megabits: f64,
    /// Models that it serves.
    pub models: Vec<String>,
}
