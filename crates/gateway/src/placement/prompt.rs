//! A prompt as its caller declares it.

use super::{PartKey, PromptKeys};

/// One part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the text of the part.
    pub id: String,
    /// Number of tokens.
    pub tokens: u32,
}

/// A prompt as its caller declares it: parts in order, of which the last belongs to this request
/// alone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The requested model.
    pub model: String,
    /// The parts in order.
    pub parts: Vec<PromptPart>,
    /// Number of tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens of the answer.
    pub output_tokens: u32,
    /// Number of tokens of the answer that the caller expects. The median of these figures is
    /// right, but single ones are often far off.
    pub expected_tokens: Option<u32>,
}

impl Prompt {
    /// Keys of the parts under `salt`, each with the number of tokens from the start of the prompt
    /// to the end of the part.
    pub fn keys(&self, salt: &str) -> PromptKeys {
        let mut end_tokens = 0;
        let mut keys = Vec::with_capacity(self.parts.len());
        for part in &self.parts {
            end_tokens += part.tokens;
            keys.push((PartKey::new(&self.model, salt, &part.id), end_tokens));
        }
        PromptKeys(keys)
    }

    /// Number of tokens of the answer, as far as can be told in advance.
    pub fn likely_output_tokens(&self) -> u32 {
        let expected = self.expected_tokens.unwrap_or(self.output_tokens);
        expected.min(self.output_tokens)
    }

    /// Number of tokens in the parts that other requests may share, which are all but the last.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.tokens).sum()
    }
}
