//! A request that runs in an engine.

use ryerouter_core::Timestamp;
use ryerouter_core::prompt::{BlockHash, PrefixBlock};

use super::promotion::Promotion;
use super::{EngineOutput, EngineRequest};

/// A request that runs in an engine: it imports, then prefills, then decodes.
#[derive(Debug, Clone)]
pub(super) struct Sequence {
    /// The request.
    pub request: EngineRequest,
    /// When it arrived.
    pub arrived_at: Timestamp,
    /// Prompt tokens whose KV cache is there, cached or computed.
    pub prompt_done: u32,
    /// Prompt tokens that did not have to be computed.
    pub cached_tokens: u32,
    /// Blocks at the start of its chain that it has pinned.
    pub pinned_blocks: usize,
    /// Memory reserved beyond pinned blocks, in tokens.
    pub reserved_tokens: u32,
    /// Index of the next chunk.
    pub next_chunk: u32,
    /// When its import ends, while it imports.
    pub importing_until: Option<Timestamp>,
}

impl Sequence {
    /// Whether it goes before ordinary batch work.
    pub fn is_urgent(&self, promotion: Promotion) -> bool {
        promotion.is_urgent(self.request.priority, self.arrived_at)
    }

    /// Prompt tokens still to compute. A prompt that is cached whole still needs its last token.
    pub fn remaining_prefill(&self) -> u32 {
        self.request.prompt_tokens - self.prompt_done
    }

    /// Whether it computes its prompt.
    pub fn is_prefilling(&self) -> bool {
        self.importing_until.is_none() && self.remaining_prefill() > 0
    }

    /// Whether it computes its answer.
    pub fn is_decoding(&self) -> bool {
        self.importing_until.is_none() && self.remaining_prefill() == 0
    }

    /// Whether its answer is whole.
    pub fn is_finished(&self) -> bool {
        self.is_decoding() && self.next_chunk >= self.request.output_tokens
    }

    /// The first block it has not pinned yet.
    pub fn next_block(&self) -> Option<PrefixBlock> {
        self.request.prefix.blocks.get(self.pinned_blocks).copied()
    }

    /// The last block it has pinned.
    pub fn last_pinned(&self) -> Option<BlockHash> {
        let last = self.pinned_blocks.checked_sub(1)?;
        Some(self.request.prefix.blocks[last].hash)
    }

    /// Tokens of the prefix it has pinned.
    pub fn pinned_end(&self) -> u32 {
        self.request.prefix_tokens(self.pinned_blocks)
    }

    /// Leaves the last token of a prompt that is cached whole to be computed, which yields the
    /// first token of the answer.
    pub fn leave_last_token(&mut self) {
        if self.prompt_done >= self.request.prompt_tokens {
            self.prompt_done = self.request.prompt_tokens - 1;
            self.cached_tokens = self.cached_tokens.min(self.prompt_done);
        }
    }

    /// Emits the next chunk of the answer, unless all are out.
    pub fn emit_chunk(&mut self, out: &mut Vec<EngineOutput>) {
        if self.next_chunk >= self.request.output_tokens {
            return;
        }
        out.push(EngineOutput::Chunk {
            attempt: self.request.attempt,
            index: self.next_chunk,
        });
        self.next_chunk += 1;
    }

    /// Exports the prefix that the request wants kept, if its prompt has it.
    pub fn export_prefix(&self, out: &mut Vec<EngineOutput>) {
        let Some(prefix) = self.request.kv_export else {
            return;
        };
        let blocks = &self.request.prefix.blocks;
        let Some(block) = blocks.iter().find(|block| block.hash == prefix) else {
            return;
        };
        out.push(EngineOutput::Exported {
            attempt: self.request.attempt,
            prefix,
            tokens: block.end_tokens,
        });
    }
}
