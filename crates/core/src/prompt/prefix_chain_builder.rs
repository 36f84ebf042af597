//! Splits a prompt into its chain of nested prefixes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{BlockHash, PrefixBlock, PrefixChain, PrefixSalt};
use crate::identity::WeightsVersion;

/// Average number of bytes of text per token over the models served.
pub const BYTES_PER_TOKEN: usize = 4;

/// Number of tokens in a full block within a message.
pub const BLOCK_TOKENS: usize = 256;

/// Tokens that the chat template adds to each message.
pub const MESSAGE_OVERHEAD_TOKENS: u32 = 4;

const BLOCK_BYTES: usize = BLOCK_TOKENS * BYTES_PER_TOKEN;

/// Splits a prompt at its message boundaries, and within a message every [`BLOCK_TOKENS`] tokens.
///
/// The hash of each block is seeded with the hash of the block before it, so that it identifies the
/// whole prefix; the first is seeded with the hash of the [`PrefixSalt`].
#[derive(Debug, Clone)]
pub struct PrefixChainBuilder {
    weights_version: WeightsVersion,
    hash: u64,
    tokens: u32,
    level: u16,
    blocks: Vec<PrefixBlock>,
}

impl PrefixChainBuilder {
    /// Starts the chain of a prompt.
    pub fn new(salt: &PrefixSalt<'_>) -> Self {
        Self {
            weights_version: salt.weights_version,
            hash: salt.hash(),
            tokens: 0,
            level: 0,
            blocks: Vec::new(),
        }
    }

    /// Appends one message; a plain prompt is one message with the role `""`.
    pub fn push_message(&mut self, role: &str, text: &str) -> &mut Self {
        self.hash = xxh3_64_with_seed(role.as_bytes(), self.hash);
        self.tokens = self.tokens.saturating_add(MESSAGE_OVERHEAD_TOKENS);
        let bytes = text.as_bytes();
        if bytes.is_empty() {
            self.push_block(bytes);
        }
        for block in bytes.chunks(BLOCK_BYTES) {
            self.push_block(block);
        }
        self.level = self.level.saturating_add(1);
        self
    }

    /// The chain of all messages appended so far.
    pub fn finish(self) -> PrefixChain {
        PrefixChain {
            weights_version: Some(self.weights_version),
            blocks: self.blocks,
        }
    }

    fn push_block(&mut self, bytes: &[u8]) {
        self.hash = xxh3_64_with_seed(bytes, self.hash);
        let tokens = bytes.len().div_ceil(BYTES_PER_TOKEN) as u32;
        self.tokens = self.tokens.saturating_add(tokens);
        self.blocks.push(PrefixBlock {
            hash: BlockHash(self.hash),
            end_tokens: self.tokens,
            level: self.level,
        });
    }
}
