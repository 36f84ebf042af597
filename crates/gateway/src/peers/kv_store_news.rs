//! News of the store of kept KV cache.

use serde::{Deserialize, Serialize};

/// Whether the store of kept KV cache answers, and in which life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum KvStoreNews {
    /// It answered and named its life.
    #[serde(rename = "u")]
    Up(u64),
    /// It did not answer.
    #[serde(rename = "d")]
    Down,
}
