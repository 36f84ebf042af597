//! What is there when an import or a step of an engine ends.

use ryerouter_core::Timestamp;
use ryerouter_core::prompt::PrefixBlock;

use super::EngineModel;
use crate::engine_model::sequence::Sequence;
use crate::engine_model::{EngineOutput, PrefixCache};

impl EngineModel {
    /// Ends the imports that are due by `now`.
    pub(super) fn finish_imports(&mut self, now: Timestamp, out: &mut Vec<EngineOutput>) {
        for index in 0..self.running.len() {
            let sequence = &self.running[index];
            if sequence.importing_until.is_some_and(|end| end <= now) {
                self.finish_import(index, out);
            }
        }
    }

    fn finish_import(&mut self, index: usize, out: &mut Vec<EngineOutput>) {
        let sequence = &mut self.running[index];
        sequence.importing_until = None;
        let Some(import) = sequence.request.kv_import else {
            return;
        };
        while let Some(block) = sequence.next_block() {
            let tokens = block.end_tokens - sequence.pinned_end();
            store_block(
                &mut self.cache,
                sequence,
                &mut self.reserved_tokens,
                block,
                out,
            );
            sequence.cached_tokens += tokens;
            sequence.prompt_done = block.end_tokens;
            if block.hash == import.prefix {
                break;
            }
        }
        sequence.leave_last_token();
        out.push(EngineOutput::Started {
            attempt: sequence.request.attempt,
            cached_tokens: sequence.cached_tokens,
        });
    }

    /// Ends the step that is due by `now`: its tokens exist from here on.
    pub(super) fn finish_step(&mut self, now: Timestamp, out: &mut Vec<EngineOutput>) {
        if self.step.as_ref().is_none_or(|step| step.ends_at > now) {
            return;
        }
        let Some(step) = self.step.take() else {
            return;
        };
        for (attempt, tokens) in &step.prefill {
            if let Some(index) = self.running_index(*attempt) {
                self.finish_prefill_chunk(index, *tokens, out);
            }
        }
        for attempt in &step.decode {
            if let Some(index) = self.running_index(*attempt) {
                self.running[index].emit_chunk(out);
            }
        }
        self.retire_finished(out);
    }

    fn finish_prefill_chunk(&mut self, index: usize, tokens: u32, out: &mut Vec<EngineOutput>) {
        let sequence = &mut self.running[index];
        sequence.prompt_done += tokens;
        while let Some(block) = sequence.next_block() {
            if block.end_tokens > sequence.prompt_done {
                break;
            }
            let tokens = block.end_tokens - sequence.pinned_end();
            out.push(EngineOutput::Computed {
                hash: block.hash,
                tokens,
            });
            store_block(
                &mut self.cache,
                sequence,
                &mut self.reserved_tokens,
                block,
                out,
            );
        }
        if sequence.remaining_prefill() > 0 {
            return;
        }
        sequence.export_prefix(out);
        sequence.emit_chunk(out);
    }

    fn retire_finished(&mut self, out: &mut Vec<EngineOutput>) {
        let mut index = 0;
        while index < self.running.len() {
            if !self.running[index].is_finished() {
                index += 1;
                continue;
            }
            let sequence = self.running.remove(index);
            self.release(&sequence);
            out.push(EngineOutput::Finished {
                attempt: sequence.request.attempt,
                prompt_tokens: sequence.request.prompt_tokens,
                cached_tokens: sequence.cached_tokens,
                output_tokens: sequence.request.output_tokens,
            });
        }
    }
}

/// Moves the sequence's next block from its reservation into the cache, pinned by it.
fn store_block(
    cache: &mut PrefixCache,
    sequence: &mut Sequence,
    reserved_tokens: &mut u32,
    block: PrefixBlock,
    out: &mut Vec<EngineOutput>,
) {
    let tokens = block.end_tokens - sequence.pinned_end();
    sequence.reserved_tokens -= tokens;
    *reserved_tokens -= tokens;
    if cache.contains(block.hash) {
        cache.pin(block.hash);
    } else {
        cache.insert_pinned(block.hash, sequence.last_pinned(), tokens);
        out.push(EngineOutput::Stored {
            hash: block.hash,
            tokens,
        });
    }
    sequence.pinned_blocks += 1;
}
