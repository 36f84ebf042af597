//! The policy that sees everything.

use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::Priority;
use ryerouter_core::identity::AttemptId;

use super::engine_choice::{ChoiceRequest, EngineChoice};
use super::planned_attempts::PlannedAttempts;
use super::simulated_engine::SimulatedEngine;
use crate::engine_model::EngineModel;

/// How much a second of waiting counts for batch work.
const BATCH_WAIT_WEIGHT: f64 = 0.2;

/// Sees every cache, queue and dispatch of the whole cluster at once and takes the engine with the
/// least estimated time to first token plus the cost of recomputation.
#[derive(Debug)]
pub(super) struct Omniscient {
    planned: Vec<PlannedAttempts>,
    /// How much a second of recomputation counts against a second of waiting.
    recomputation_weight: f64,
    now: Timestamp,
}

impl Omniscient {
    /// Over this many engines.
    pub fn new(engines: usize, recomputation_weight: f64) -> Self {
        Self {
            planned: (0..engines).map(|_| PlannedAttempts::default()).collect(),
            recomputation_weight,
            now: Timestamp::ZERO,
        }
    }

    fn missing_tokens(
        &self,
        request: ChoiceRequest<'_>,
        engine: usize,
        model: &EngineModel,
    ) -> u32 {
        let blocks = &request.profile.prefix.blocks;
        let reusable = self.planned[engine].reusable_tokens(blocks, model);
        request
            .profile
            .prompt_tokens
            .saturating_sub(reusable)
            .max(1)
    }

    fn cost(&self, request: ChoiceRequest<'_>, engine: usize, model: &EngineModel) -> f64 {
        let priority = request.profile.priority;
        let missing = self.missing_tokens(request, engine, model);
        let ahead = self.planned[engine].tokens_ahead(priority, model, self.now);
        let per_token = seconds_per_token(model);
        let wait = f64::from(ahead + missing) * per_token + until_step_ends(model, self.now);
        let wait_weight = match priority {
            Priority::Interactive => 1.0,
            Priority::Batch => BATCH_WAIT_WEIGHT,
        };
        wait * wait_weight + self.recomputation_weight * f64::from(missing) * per_token
    }
}

impl EngineChoice for Omniscient {
    fn choose(
        &mut self,
        request: ChoiceRequest<'_>,
        candidates: &[usize],
        now: Timestamp,
        engines: &[SimulatedEngine],
    ) -> usize {
        self.now = now;
        let costs = candidates.iter().map(|engine| {
            (
                self.cost(request, *engine, &engines[*engine].model),
                *engine,
            )
        });
        let best = costs.min_by(|(left, _), (right, _)| left.total_cmp(right));
        best.map_or(candidates[0], |(_, engine)| engine)
    }

    fn started(
        &mut self,
        request: ChoiceRequest<'_>,
        attempt: AttemptId,
        back_end: usize,
        engines: &[SimulatedEngine],
    ) {
        let missing = self.missing_tokens(request, back_end, &engines[back_end].model);
        let blocks = &request.profile.prefix.blocks;
        let priority = request.profile.priority;
        self.planned[back_end].add(attempt, blocks, missing, priority, self.now);
    }

    fn first_token(&mut self, attempt: AttemptId, back_end: usize) {
        self.planned[back_end].remove(attempt);
    }

    fn ended(&mut self, _node: usize, attempt: AttemptId, back_end: usize) {
        self.planned[back_end].remove(attempt);
    }
}

/// Time that one prompt token takes in full steps beside the answers that are being computed.
fn seconds_per_token(model: &EngineModel) -> f64 {
    let profile = model.profile();
    let chunk = profile.prefill_chunk_tokens;
    let step = profile.step_duration(model.status().running as usize, chunk);
    step.as_secs_f64() / f64::from(chunk)
}

fn until_step_ends(model: &EngineModel, now: Timestamp) -> f64 {
    let wake = model.next_wake().unwrap_or(now);
    wake.since(now).as_secs_f64()
}
