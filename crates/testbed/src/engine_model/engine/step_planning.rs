//! What the next step of an engine computes.

use ryerouter_core::Timestamp;
use ryerouter_core::identity::AttemptId;

use super::EngineModel;
use crate::engine_model::EngineOutput;
use crate::engine_model::promotion::Promotion;
use crate::engine_model::sequence::Sequence;
use crate::engine_model::step::Step;

impl EngineModel {
    /// Starts a step if none is under way and there is something to compute.
    pub(super) fn start_step(&mut self, now: Timestamp, out: &mut Vec<EngineOutput>) {
        if self.step.is_some() {
            return;
        }
        let decode = self.decoding_attempts();
        let prefill = self.plan_prefill(now, out);
        if decode.is_empty() && prefill.is_empty() {
            return;
        }
        let prefill_tokens = prefill.iter().map(|(_, tokens)| tokens).sum();
        let duration = self.profile.step_duration(decode.len(), prefill_tokens);
        self.step = Some(Step {
            ends_at: now.after(duration),
            prefill,
            decode,
        });
    }

    fn decoding_attempts(&self) -> Vec<AttemptId> {
        self.running
            .iter()
            .filter(|sequence| sequence.is_decoding())
            .map(|sequence| sequence.request.attempt)
            .collect()
    }

    /// Shares the step's prompt tokens out: urgent sequences first, each kind in order of arrival.
    /// Waiting requests start only when no running sequence of their kind has prompt left, so that
    /// requests with a common prefix compute it one after the other and the later one finds it.
    fn plan_prefill(
        &mut self,
        now: Timestamp,
        out: &mut Vec<EngineOutput>,
    ) -> Vec<(AttemptId, u32)> {
        let promotion = Promotion {
            now,
            after: self.profile.batch_promotion(),
        };
        let mut budget = self.profile.prefill_chunk_tokens;
        let mut planned = Vec::new();
        let mut may_admit = true;
        while budget > 0 {
            let candidate = self.next_prefilling(&planned, promotion);
            if may_admit && self.waiting_goes_first(candidate, promotion) {
                may_admit = self.admit_first(promotion, out);
                continue;
            }
            let Some(index) = candidate else {
                break;
            };
            self.adopt_cached_blocks(index);
            let sequence = &self.running[index];
            let tokens = sequence.remaining_prefill().min(budget);
            budget -= tokens;
            planned.push((sequence.request.attempt, tokens));
        }
        planned
    }

    fn next_prefilling(&self, planned: &[(AttemptId, u32)], promotion: Promotion) -> Option<usize> {
        let is_planned = |sequence: &Sequence| {
            planned
                .iter()
                .any(|(attempt, _)| *attempt == sequence.request.attempt)
        };
        self.running
            .iter()
            .enumerate()
            .filter(|(_, sequence)| sequence.is_prefilling() && !is_planned(sequence))
            .min_by_key(|(index, sequence)| {
                let late = !sequence.is_urgent(promotion);
                (late, sequence.arrived_at, *index)
            })
            .map(|(index, _)| index)
    }

    /// Takes over blocks that another sequence stored since this one started.
    fn adopt_cached_blocks(&mut self, index: usize) {
        let sequence = &mut self.running[index];
        while let Some(block) = sequence.next_block() {
            if !self.cache.contains(block.hash) {
                break;
            }
            let tokens = block.end_tokens - sequence.pinned_end();
            self.cache.pin(block.hash);
            sequence.pinned_blocks += 1;
            sequence.reserved_tokens -= tokens;
            self.reserved_tokens -= tokens;
            sequence.cached_tokens += block.end_tokens - sequence.prompt_done;
            sequence.prompt_done = block.end_tokens;
        }
        sequence.leave_last_token();
    }
}
