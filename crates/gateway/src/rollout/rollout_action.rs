//! What a rollout wants done.

use std::time::Duration;

use ryerouter_core::identity::BackEndName;

use super::WeightsOrder;

/// What a rollout wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutAction {
    /// Send an engine no new requests: an order is about to be given.
    Announce {
        /// The engine.
        engine: BackEndName,
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
    /// Give an order.
    Order(WeightsOrder),
    /// Ask an engine for a report.
    Ask(BackEndName),
    /// The engine has these weights.
    Loaded {
        /// The engine.
        engine: BackEndName,
        /// The model.
        model: String,
        /// The version.
        version: u64,
        /// From the first question until it was known.
        after: Duration,
    },
}
