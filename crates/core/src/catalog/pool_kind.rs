//! What kind of work a pool does.

use serde::{Deserialize, Serialize};

use crate::identity::{AdapterName, ModelName, WeightsVersion};

/// Engines that may load weights at once when the pool does not say.
pub const DEFAULT_WEIGHT_LOADS_AT_ONCE: u32 = 2;

/// What a pool serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines with prefix caches.
    Model {
        /// The model as callers write it.
        model: ModelName,
        /// The weights every engine of the pool must serve.
        weights_version: WeightsVersion,
        /// Adapters that callers may name in place of the model.
        #[serde(default)]
        adapters: Vec<AdapterName>,
        /// How many of its engines may load weights at once.
        #[serde(default = "default_weight_loads_at_once")]
        weight_loads_at_once: u32,
    },
    /// Plain HTTP processes.
    Service,
}

fn default_weight_loads_at_once() -> u32 {
    DEFAULT_WEIGHT_LOADS_AT_ONCE
}
