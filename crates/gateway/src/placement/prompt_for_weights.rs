//! A prompt under one version of the weights.

use ryerouter_core::placement::rendezvous_score;

use super::{MIN_SAVED_TOKENS, PlacementRequest, Prompt, PromptKeys};
use crate::engines::Engine;
use crate::topology::Distance;

/// Nobody is told who holds small parts. Each zone reads them for itself, and where there are several
/// regions, so that zones are many, each region does.
const SMALL_PREFIX_HOME_SCOPE: Distance = Distance::Near;
const SMALL_PREFIX_HOME_SCOPE_WITH_REGIONS: Distance = Distance::SameRegion;
/// Each region reads other parts once, or fetches them from another region that has.
const LARGE_PREFIX_HOME_SCOPE: Distance = Distance::SameRegion;

/// A prompt under one version of the weights: its salt and keys, and who reads it first.
#[derive(Debug)]
pub(super) struct PromptForWeights {
    model: String,
    pub(super) weights: u64,
    pub(super) salt: String,
    pub(super) keys: PromptKeys,
    /// Orders engines the same on every node.
    order_key: u64,
    /// Place of the first engine in that order.
    highest_order: u64,
    /// The same of the engines in this node's zone.
    highest_zone_order: u64,
    /// The same of those in its region.
    highest_region_order: u64,
    /// Whether there are several regions.
    has_regions: bool,
}

impl PromptForWeights {
    pub(super) fn new(
        prompt: &Prompt,
        request: &PlacementRequest<'_>,
        weights: u64,
        has_regions: bool,
    ) -> Self {
        let salt = request.salt(weights);
        let keys = prompt.keys(&salt);
        let order_key = keys.shared().last().or(keys.0.last());
        Self {
            model: prompt.model.clone(),
            weights,
            order_key: order_key.map_or(0, |(key, _)| key.0),
            salt,
            keys,
            highest_order: 0,
            highest_zone_order: 0,
            highest_region_order: 0,
            has_regions,
        }
    }

    /// Whether an engine has these weights.
    pub(super) fn has_weights_of(&self, engine: &Engine) -> bool {
        engine.serving_weights_of(&self.model) == Some(self.weights)
    }

    /// Place of an engine in the order, the highest first.
    pub(super) fn order_of(&self, engine: &Engine) -> u64 {
        rendezvous_score(self.order_key, engine.name_hash)
    }

    /// An engine with these weights takes work.
    pub(super) fn consider_home_engine(&mut self, engine: &Engine, distance: Distance) {
        let order = self.order_of(engine);
        self.highest_order = self.highest_order.max(order);
        if distance == Distance::Near {
            self.highest_zone_order = self.highest_zone_order.max(order);
        }
        if distance < Distance::Remote {
            self.highest_region_order = self.highest_region_order.max(order);
        }
    }

    /// Tokens of the parts that other requests may share.
    pub(super) fn shared_tokens(&self) -> u32 {
        self.keys.shared().last().map_or(0, |(_, tokens)| *tokens)
    }

    /// Whether the shared parts are so few that each zone or region reads them for itself: sending the
    /// request further costs more, and nobody is told who holds them.
    pub(super) fn is_small(&self) -> bool {
        self.shared_tokens() < MIN_SAVED_TOKENS
    }

    /// Whether all nodes, or for small parts all nodes of the zone or region, send parts that nobody
    /// holds to this engine.
    pub(super) fn is_home_engine(&self, engine: &Engine) -> bool {
        self.order_of(engine) == self.home_order_within(self.home_scope())
    }

    /// Within which distance of a node all requests go to one first reader.
    fn home_scope(&self) -> Distance {
        match self.is_small() {
            true if self.has_regions => SMALL_PREFIX_HOME_SCOPE_WITH_REGIONS,
            true => SMALL_PREFIX_HOME_SCOPE,
            false => LARGE_PREFIX_HOME_SCOPE,
        }
    }

    /// Place of the first engine within a distance; of all when none is that near.
    fn home_order_within(&self, distance: Distance) -> u64 {
        let orders = match distance {
            Distance::Near => [self.highest_zone_order, self.highest_region_order],
            Distance::SameRegion => [self.highest_region_order, 0],
            Distance::Remote => [0, 0],
        };
        let first = orders.into_iter().find(|order| *order > 0);
        first.unwrap_or(self.highest_order)
    }
}
