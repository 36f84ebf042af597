//! The pool of engines.

use serde::{Deserialize, Serialize};

/// The pool of engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelPoolSpec {
    /// Its name.
    pub name: String,
    /// The model that callers name.
    pub model: String,
    /// Engines, spread over the zones in turn.
    pub engines: u32,
    /// Name of the store of kept KV cache.
    pub kv_store: String,
    /// Time to load weights while no more than `weights_loads_at_once` load.
    pub weights_load_millis: u64,
    /// Loads at once that the weight store serves at full speed.
    pub weights_loads_at_once: u32,
}
