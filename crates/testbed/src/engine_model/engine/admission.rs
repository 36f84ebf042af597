//! Start of waiting requests, for which KV memory must be found.

use ryerouter_core::Timestamp;

use super::EngineModel;
use crate::engine_model::EngineOutput;
use crate::engine_model::promotion::Promotion;
use crate::engine_model::sequence::Sequence;
use crate::engine_model::waiting_request::WaitingRequest;

impl EngineModel {
    /// Starts the request whose turn it is, if memory can be found for it.
    pub(super) fn admit_first(
        &mut self,
        promotion: Promotion,
        out: &mut Vec<EngineOutput>,
    ) -> bool {
        let Some(waiting) = self.waiting.first(promotion) else {
            return false;
        };
        let blocks = &waiting.request.prefix.blocks;
        let matched = self.cache.matching_blocks(blocks);
        let matched_tokens = waiting.request.prefix_tokens(matched);
        let output = waiting.request.output_tokens - waiting.request.first_chunk;
        let needed = waiting.request.prompt_tokens - matched_tokens + output;
        let pinned = blocks[..matched].to_vec();
        for block in &pinned {
            self.cache.pin(block.hash);
        }
        if !self.make_room(needed, out) {
            for block in &pinned {
                self.cache.unpin(block.hash);
            }
            return false;
        }
        let waiting = self.waiting.take_first(promotion).expect("it waits");
        self.reserved_tokens += needed;
        self.start_sequence(waiting, matched, matched_tokens, needed, promotion.now, out);
        true
    }

    fn start_sequence(
        &mut self,
        waiting: WaitingRequest,
        matched: usize,
        matched_tokens: u32,
        reserved_tokens: u32,
        now: Timestamp,
        out: &mut Vec<EngineOutput>,
    ) {
        let import = waiting.request.tokens_to_import(matched);
        let transfer = import.map(|tokens| self.profile.kv_transfer_duration(tokens));
        let mut sequence = Sequence {
            next_chunk: waiting.request.first_chunk,
            request: waiting.request,
            arrived_at: waiting.arrived_at,
            prompt_done: matched_tokens,
            cached_tokens: matched_tokens,
            pinned_blocks: matched,
            reserved_tokens,
            importing_until: transfer.map(|transfer| now.after(transfer)),
        };
        if sequence.importing_until.is_none() {
            sequence.leave_last_token();
            out.push(EngineOutput::Started {
                attempt: sequence.request.attempt,
                cached_tokens: sequence.cached_tokens,
            });
        }
        self.running.push(sequence);
    }

    fn make_room(&mut self, needed: u32, out: &mut Vec<EngineOutput>) -> bool {
        while self.used_tokens() + needed > self.profile.kv_capacity_tokens {
            let Some((hash, tokens)) = self.cache.evict_one() else {
                return false;
            };
            out.push(EngineOutput::Evicted { hash, tokens });
        }
        true
    }

    /// Whether a waiting request is to start before the running `candidate` gets prompt tokens.
    pub(super) fn waiting_goes_first(
        &self,
        candidate: Option<usize>,
        promotion: Promotion,
    ) -> bool {
        if self.running.len() as u32 >= self.profile.max_running {
            return false;
        }
        let Some(waiting) = self.waiting.first(promotion) else {
            return false;
        };
        let Some(index) = candidate else {
            return true;
        };
        waiting.is_urgent(promotion) && !self.running[index].is_urgent(promotion)
    }
}
