//! A prefix whose KV cache is kept.

use serde::{Deserialize, Serialize};

/// A prefix whose KV cache is kept. The stand-in keeps what the cache was computed from in its
/// place, so that an engine can refuse one that does not fit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptPrefix {
    /// Tokens of the prefix.
    pub tokens: u32,
    /// The tenant whose prompt it is.
    pub tenant: String,
    /// The weights it was computed with.
    pub weights_version: u64,
}
