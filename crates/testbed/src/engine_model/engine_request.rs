//! A request as an engine sees it.

use std::collections::HashSet;

use ryerouter_core::dispatch::Priority;
use ryerouter_core::identity::{AttemptId, Incarnation, WeightsVersion};
use ryerouter_core::prompt::{BlockHash, PrefixChain};

use super::ImportedPrefix;

/// A request as an engine sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// Nested prefixes of the prompt, by which the cache is keyed.
    pub prefix: PrefixChain,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens the answer will have, those already delivered included.
    pub output_tokens: u32,
    /// Index of the first chunk wanted; above 0 when the request continues a broken answer.
    pub first_chunk: u32,
    /// How urgent it is.
    pub priority: Priority,
    /// The incarnation the engine must have.
    pub incarnation: Option<Incarnation>,
    /// The weights the engine must serve.
    pub weights_version: Option<WeightsVersion>,
    /// Kept KV cache to import before prefill.
    pub kv_import: Option<ImportedPrefix>,
    /// Prefix whose KV cache is to be kept after prefill.
    pub kv_export: Option<BlockHash>,
}

impl EngineRequest {
    /// Makes the request safe to run: at least one prompt token, each prefix longer than the one
    /// before and within the prompt, no prefix twice.
    pub(super) fn normalise(&mut self) {
        self.prompt_tokens = self.prompt_tokens.max(1);
        self.output_tokens = self.output_tokens.max(self.first_chunk);
        let mut seen = HashSet::new();
        let mut end = 0;
        let usable = self
            .prefix
            .blocks
            .iter()
            .take_while(|block| {
                let rises = block.end_tokens > end && block.end_tokens <= self.prompt_tokens;
                end = block.end_tokens;
                rises && seen.insert(block.hash)
            })
            .count();
        self.prefix.blocks.truncate(usable);
    }

    /// Tokens of the prefix that the first `blocks` blocks of the chain cover.
    pub(super) fn prefix_tokens(&self, blocks: usize) -> u32 {
        blocks
            .checked_sub(1)
            .map_or(0, |last| self.prefix.blocks[last].end_tokens)
    }

    /// Tokens that the wanted import would add beyond the first `matched` blocks, if it adds any.
    pub(super) fn tokens_to_import(&self, matched: usize) -> Option<u32> {
        let ImportedPrefix { prefix, .. } = self.kv_import?;
        let blocks = &self.prefix.blocks;
        let last = blocks.iter().position(|block| block.hash == prefix)?;
        if last < matched {
            return None;
        }
        Some(blocks[last].end_tokens - self.prefix_tokens(matched))
    }
}
