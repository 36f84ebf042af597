//! The engine with the fewest requests.

use std::collections::BTreeMap;

use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::EngineObservation;
use ryerouter_core::identity::AttemptId;

use super::engine_choice::{ChoiceRequest, EngineChoice};
use super::simulated_engine::SimulatedEngine;

/// What a router process knows of an engine's load.
#[derive(Debug, Clone, Copy, Default)]
struct KnownLoad {
    /// Its own attempts there.
    own: u32,
    /// Others' attempts there by the last report.
    others: u32,
}

/// The engine with the fewest requests: own attempts under way, and those of other router processes
/// by the last report. Equal engines are taken in turn.
#[derive(Debug, Default)]
pub(super) struct LeastLoaded {
    known: BTreeMap<(usize, usize), KnownLoad>,
    turn: usize,
}

impl EngineChoice for LeastLoaded {
    fn choose(
        &mut self,
        request: ChoiceRequest<'_>,
        candidates: &[usize],
        _now: Timestamp,
        _engines: &[SimulatedEngine],
    ) -> usize {
        self.turn += 1;
        let load = |engine: usize| {
            let known = self.known.get(&(request.node, engine)).copied();
            known.map_or(0, |known| known.own + known.others)
        };
        let in_turn = (0..candidates.len()).map(|step| (step + self.turn) % candidates.len());
        let best = in_turn.min_by_key(|index| load(candidates[*index]));
        candidates[best.unwrap_or(0)]
    }

    fn started(
        &mut self,
        request: ChoiceRequest<'_>,
        _attempt: AttemptId,
        back_end: usize,
        _engines: &[SimulatedEngine],
    ) {
        let known = self.known.entry((request.node, back_end)).or_default();
        known.own += 1;
    }

    fn ended(&mut self, node: usize, _attempt: AttemptId, back_end: usize) {
        let known = self.known.entry((node, back_end)).or_default();
        known.own = known.own.saturating_sub(1);
    }

    fn reported(&mut self, node: usize, back_end: usize, observation: &EngineObservation) {
        let known = self.known.entry((node, back_end)).or_default();
        let all = observation.running + observation.waiting;
        known.others = all.saturating_sub(known.own);
    }
}
