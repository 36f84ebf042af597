//! A prompt under one version of the weights.

use ryerouter_core::placement::rendezvous_score;

use super::{MIN_SAVED_TOKENS, PlacementRequest, Prompt, PromptKeys};
use crate::engines::Engine;
use crate::topology::Distance;

/// Holders of small prefixes are not announced to other nodes, so each zone has a home engine for
/// them. With several regions there are many zones, and each region has one home engine instead.
const SMALL_PREFIX_HOME_SCOPE: Distance = Distance::Near;
const SMALL_PREFIX_HOME_SCOPE_WITH_REGIONS: Distance = Distance::SameRegion;
/// For large prefixes each region has one home engine. It prefills the prefix once or fetches it
/// from a region that has it.
const LARGE_PREFIX_HOME_SCOPE: Distance = Distance::SameRegion;

/// A prompt under one version of the weights: its salt, its keys and its home engine.
///
/// The home engine is the engine to which all nodes send a prefix that no engine is known to hold.
/// It is the first one in rendezvous order within the home scope.
#[derive(Debug)]
pub(super) struct PromptForWeights {
    model: String,
    pub(super) weights: u64,
    pub(super) salt: String,
    pub(super) keys: PromptKeys,
    /// Seeds the rendezvous order of engines, which is the same on every node.
    order_key: u64,
    /// Rendezvous score of the first engine in the pool.
    highest_order: u64,
    /// Rendezvous score of the first engine in this node's zone; zero if there is none.
    highest_zone_order: u64,
    /// Rendezvous score of the first engine in this node's region; zero if there is none.
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

    /// Whether the engine has these weights.
    pub(super) fn has_weights_of(&self, engine: &Engine) -> bool {
        engine.serving_weights_of(&self.model) == Some(self.weights)
    }

    /// Rendezvous score of an engine; the highest score comes first.
    pub(super) fn order_of(&self, engine: &Engine) -> u64 {
        rendezvous_score(self.order_key, engine.name_hash)
    }

    /// Takes an engine with these weights into account as a possible home engine.
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

    /// Number of tokens in the parts that other requests may share.
    pub(super) fn shared_tokens(&self) -> u32 {
        self.keys.shared().last().map_or(0, |(_, tokens)| *tokens)
    }

    /// Whether the shared prefix is so short that each zone or region prefills it for itself.
    /// Sending the request further away would cost more, and its holders are not announced.
    pub(super) fn is_small(&self) -> bool {
        self.shared_tokens() < MIN_SAVED_TOKENS
    }

    /// Whether this is the home engine, to which all nodes in the home scope send a prefix without
    /// a known holder.
    pub(super) fn is_home_engine(&self, engine: &Engine) -> bool {
        self.order_of(engine) == self.home_order_within(self.home_scope())
    }

    /// Distance from a node within which its home engine is chosen.
    fn home_scope(&self) -> Distance {
        match self.is_small() {
            true if self.has_regions => SMALL_PREFIX_HOME_SCOPE_WITH_REGIONS,
            true => SMALL_PREFIX_HOME_SCOPE,
            false => LARGE_PREFIX_HOME_SCOPE,
        }
    }

    /// Score of the first engine within a distance; of the first engine anywhere if there is none
    /// that near.
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
