//! Engines in turn.

use std::collections::BTreeMap;

use ryerouter_core::Timestamp;

use super::engine_choice::{ChoiceRequest, EngineChoice};
use super::simulated_engine::SimulatedEngine;

/// Each router process takes the engines in turn, starting at different ones.
#[derive(Debug, Default)]
pub(super) struct RoundRobin {
    next: BTreeMap<usize, usize>,
}

impl EngineChoice for RoundRobin {
    fn choose(
        &mut self,
        request: ChoiceRequest<'_>,
        candidates: &[usize],
        _now: Timestamp,
        _engines: &[SimulatedEngine],
    ) -> usize {
        let next = self
            .next
            .entry(request.node)
            .or_insert(request.node * START_STRIDE);
        *next += 1;
        candidates[*next % candidates.len()]
    }
}

const START_STRIDE: usize = 5;
