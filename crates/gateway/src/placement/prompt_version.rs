//! A prompt under one version of the weights.

use ryerouter_core::placement::rendezvous_score;

use super::{PlacementRequest, Prompt, PromptKeys};
use crate::engines::Engine;

/// A prompt under one version of the weights: its salt and keys, and who reads it first.
#[derive(Debug)]
pub(super) struct PromptVersion {
    model: String,
    pub(super) weights: u64,
    pub(super) salt: String,
    pub(super) keys: PromptKeys,
    /// Orders engines the same on every node.
    order_key: u64,
    first_order: u64,
}

impl PromptVersion {
    pub(super) fn new(prompt: &Prompt, request: &PlacementRequest<'_>, weights: u64) -> Self {
        let salt = request.salt(weights);
        let keys = prompt.keys(&salt);
        let order_key = keys.shared().last().or(keys.0.last());
        Self {
            model: prompt.model.clone(),
            weights,
            order_key: order_key.map_or(0, |(key, _)| key.0),
            salt,
            keys,
            first_order: 0,
        }
    }

    /// Whether an engine has these weights.
    pub(super) fn is_of(&self, engine: &Engine) -> bool {
        engine.serving_weights_of(&self.model) == Some(self.weights)
    }

    /// Place of an engine in the order, the highest first.
    pub(super) fn order_of(&self, engine: &Engine) -> u64 {
        rendezvous_score(self.order_key, engine.name_hash)
    }

    /// An engine with these weights takes work.
    pub(super) fn consider_first_reader(&mut self, engine: &Engine) {
        self.first_order = self.first_order.max(self.order_of(engine));
    }

    /// Whether all nodes send parts that nobody holds to this engine.
    pub(super) fn is_first_reader(&self, engine: &Engine) -> bool {
        self.order_of(engine) >= self.first_order
    }
}
