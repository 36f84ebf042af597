//! What follows from the outputs of the engine model.

use std::sync::Arc;

use ryerouter_core::prompt::BlockHash;

use super::{EngineCore, EngineState};
use crate::engine_model::EngineOutput;
use crate::standins::model_engine::attempt_progress::AttemptEnd;
use crate::standins::model_engine::cache_event_log::CacheEventKind;
use crate::standins::model_engine::kv_transfer;

impl EngineCore {
    /// Passes outputs of the model on, notes its new load and wakes the driver.
    pub(super) fn settle(self: &Arc<Self>, state: &mut EngineState, outputs: Vec<EngineOutput>) {
        for output in outputs {
            self.settle_one(state, output);
        }
        let status = state.model.status();
        state.load.note(status, self.now());
        self.changed.notify_one();
    }

    fn settle_one(self: &Arc<Self>, state: &mut EngineState, output: EngineOutput) {
        match output {
            EngineOutput::Chunk { attempt, index } => {
                if let Some(attempt) = state.attempts.get(&attempt) {
                    attempt.add_chunk(index);
                }
            }
            EngineOutput::Finished {
                attempt,
                prompt_tokens,
                cached_tokens,
                ..
            } => {
                self.settings.ledger.finished(prompt_tokens, cached_tokens);
                state.exports.remove(&attempt);
                if let Some(attempt) = state.attempts.get(&attempt) {
                    attempt.end(AttemptEnd::Finished { cached_tokens });
                }
            }
            EngineOutput::Cancelled { attempt } | EngineOutput::Lost { attempt } => {
                state.exports.remove(&attempt);
                if let Some(attempt) = state.attempts.get(&attempt) {
                    attempt.end(AttemptEnd::Gone);
                }
            }
            EngineOutput::Computed { hash, tokens } => self.settings.ledger.computed(hash, tokens),
            EngineOutput::Stored { hash, tokens } => {
                self.note_event(state, CacheEventKind::Stored, hash, tokens);
            }
            EngineOutput::Evicted { hash, tokens } => {
                self.note_event(state, CacheEventKind::Evicted, hash, tokens);
            }
            EngineOutput::Exported {
                attempt, tokens, ..
            } => {
                if let Some((reference, mut kept)) = state.exports.remove(&attempt) {
                    kept.tokens = tokens;
                    tokio::spawn(kv_transfer::export(self.client.clone(), reference, kept));
                }
            }
            EngineOutput::Refused { .. }
            | EngineOutput::Accepted { .. }
            | EngineOutput::Started { .. }
            | EngineOutput::WeightsLoaded { .. } => {}
        }
    }

    fn note_event(
        &self,
        state: &mut EngineState,
        kind: CacheEventKind,
        hash: BlockHash,
        tokens: u32,
    ) {
        let incarnation = state.model.status().incarnation.0;
        let lost = state.faults.lost_events_permille;
        state
            .events
            .note(kind, hash, tokens, incarnation, lost, self.now());
    }
}
