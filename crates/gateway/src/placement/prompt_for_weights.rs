//! A prompt under one version of the weights.

use ryerouter_core::placement::rendezvous_score;

use super::{MIN_SAVED_TOKENS, PlacementRequest, Prompt, PromptKeys};
use crate::engines::Engine;
use crate::topology::Distance;

/// Holders of small prefixes are not announced to other nodes, so each zone has a home engine for
/// them.
const SMALL_PREFIX_HOME_SCOPE: Distance = Distance::Near;
/// In a deployment with several regions there are many zones, so each region, not each zone, has a
/// home engine for small prefixes.
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
    rendezvous_key: u64,
    /// Rendezvous score of the first engine in the pool.
    highest_score: u64,
    /// Rendezvous score of the first engine in this node's zone; zero if there is none.
    highest_zone_score: u64,
    /// Rendezvous score of the first engine in this node's region; zero if there is none.
    highest_region_score: u64,
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
        let salt = request.cache_scope.salt(weights);
        let keys = prompt.keys(&salt);
        let rendezvous_key = keys.shared().last().or(keys.0.last());
        Self {
            model: prompt.model.clone(),
            weights,
            rendezvous_key: rendezvous_key.map_or(0, |(key, _)| key.0),
            salt,
            keys,
            highest_score: 0,
            highest_zone_score: 0,
            highest_region_score: 0,
            has_regions,
        }
    }

    /// Whether the engine has these weights.
    pub(super) fn has_weights_of(&self, engine: &Engine) -> bool {
        engine.serving_weights_of(&self.model) == Some(self.weights)
    }

    /// Rendezvous score of an engine; the highest score comes first.
    pub(super) fn score_of(&self, engine: &Engine) -> u64 {
        rendezvous_score(self.rendezvous_key, engine.name_hash)
    }

    /// Takes an engine with these weights into account as a possible home engine.
    pub(super) fn add_home_candidate(&mut self, engine: &Engine, distance: Distance) {
        let score = self.score_of(engine);
        self.highest_score = self.highest_score.max(score);
        if distance == Distance::Near {
            self.highest_zone_score = self.highest_zone_score.max(score);
        }
        if distance < Distance::Remote {
            self.highest_region_score = self.highest_region_score.max(score);
        }
    }

    /// Number of tokens in the parts that other requests may share.
    pub(super) fn shared_tokens(&self) -> u32 {
        self.keys.shared().last().map_or(0, |(_, tokens)| *tokens)
    }

    /// Whether the shared prefix is so short that each zone or region prefills it for itself.
    /// Sending the request further away would cost more, and the holders of such prefixes are not
    /// announced.
    pub(super) fn is_small(&self) -> bool {
        self.shared_tokens() < MIN_SAVED_TOKENS
    }

    /// Whether this is the home engine, to which all nodes in the home scope send a prefix without
    /// a known holder.
    pub(super) fn is_home_engine(&self, engine: &Engine) -> bool {
        self.score_of(engine) == self.home_score_within(self.home_scope())
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
    fn home_score_within(&self, distance: Distance) -> u64 {
        let scores = match distance {
            Distance::Near => [self.highest_zone_score, self.highest_region_score],
            Distance::SameRegion => [self.highest_region_score, 0],
            Distance::Remote => [0, 0],
        };
        let first = scores.into_iter().find(|score| *score > 0);
        first.unwrap_or(self.highest_score)
    }
}
