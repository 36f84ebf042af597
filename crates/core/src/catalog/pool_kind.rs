//! What kind of work a pool does.

use serde::{Deserialize, Serialize};

use crate::identity::{AdapterName, ModelName, WeightsVersion};

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
    },
    /// Plain HTTP processes.
    Service,
}
