//! What an engine says to a prompt.

use xxhash_rust::xxh3::{xxh3_64_with_seed, xxh3_128};

/// Letters of a token; the separator is a space.
const LETTERS: &[u8; 16] = b"abcdefghiklmnopr";
/// Letters in a token.
const TOKEN_LETTERS: usize = 5;

/// What an engine says to a prompt: a function of model, weights version, prompt and chunk index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerText {
    digest: u128,
}

impl AnswerText {
    /// What the model says to `prompt` with these weights.
    pub fn new(model: &str, weights_version: u64, prompt: &str) -> Self {
        let source = format!("{model}\n{weights_version}\n{prompt}");
        Self {
            digest: xxh3_128(source.as_bytes()),
        }
    }

    /// The token of one chunk.
    pub fn token(&self, index: u32) -> String {
        let hash = xxh3_64_with_seed(&self.digest.to_le_bytes(), u64::from(index));
        let letters = (0..TOKEN_LETTERS).map(|place| {
            let letter = (hash >> (place * 4)) & 0xf;
            char::from(LETTERS[letter as usize])
        });
        std::iter::once(' ').chain(letters).collect()
    }

    /// The first `tokens` tokens together.
    pub fn text(&self, tokens: u32) -> String {
        (0..tokens).map(|index| self.token(index)).collect()
    }
}
