//! Consistent hash of the session.

use ryerouter_core::Timestamp;

use super::engine_choice::{ChoiceRequest, EngineChoice};
use super::hash_ring::HashRing;
use super::simulated_engine::SimulatedEngine;

/// Sends all requests of a caller to one engine.
#[derive(Debug)]
pub(super) struct SessionHash {
    ring: HashRing,
}

impl SessionHash {
    /// Hashes over this many engines.
    pub fn new(engines: usize) -> Self {
        Self {
            ring: HashRing::new(engines),
        }
    }
}

impl EngineChoice for SessionHash {
    fn choose(
        &mut self,
        request: ChoiceRequest<'_>,
        candidates: &[usize],
        _now: Timestamp,
        _engines: &[SimulatedEngine],
    ) -> usize {
        let found = self.ring.find(request.session.0, candidates);
        found.unwrap_or(candidates[0])
    }
}
