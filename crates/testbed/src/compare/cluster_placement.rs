//! Judges where attempts are placed.

use ryerouter_core::prompt::PrefixChain;

use super::placement_miss::{EnginePlace, judge};
use super::simulated_cluster::SimulatedCluster;
use crate::engine_model::EngineModel;
use crate::workload::GeneratedWork;

impl SimulatedCluster {
    /// Compares the chosen engine with the live one that has most of the prompt cached.
    pub(super) fn judge_placement(&mut self, request: usize, chosen: usize) {
        let generated = &self.workload.requests[request];
        let GeneratedWork::Model(prompt) = &generated.work else {
            return;
        };
        if !self.measurements.covers(generated.sent_at) {
            return;
        }
        let cached = |engine: usize| cached_tokens(&self.engines[engine].model, &prompt.prefix);
        let live = (0..self.engines.len()).filter(|engine| !self.engines[*engine].down);
        let Some(holder) = live.max_by_key(|engine| cached(*engine)) else {
            return;
        };
        let chosen = self.place(chosen, cached(chosen));
        let holder = self.place(holder, cached(holder));
        if let Some(miss) = judge(prompt.prompt_tokens, chosen, holder) {
            let tokens = holder.cached_tokens - chosen.cached_tokens;
            self.measurements.missed(miss, tokens);
        }
    }

    pub(super) fn place(&self, engine: usize, cached_tokens: u32) -> EnginePlace {
        let model = &self.engines[engine].model;
        let profile = model.profile();
        let running = model.status().running as usize;
        let step = profile.step_duration(running, profile.prefill_chunk_tokens);
        EnginePlace {
            cached_tokens,
            queued_tokens: model.queued_prefill_tokens(),
            per_token: step / profile.prefill_chunk_tokens,
        }
    }
}

fn cached_tokens(model: &EngineModel, prefix: &PrefixChain) -> u32 {
    let matched = model.cache().matching_blocks(&prefix.blocks);
    let last = matched.checked_sub(1);
    last.map_or(0, |last| prefix.blocks[last].end_tokens)
}
