//! A prompt as its caller declares it.

use super::{PartKey, PromptKeys};

/// One part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Names its text.
    pub id: String,
    /// Its tokens.
    pub tokens: u32,
}

/// A prompt as its caller declares it: parts in order, the last one the request's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model that is asked.
    pub model: String,
    /// Its parts.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub output_tokens: u32,
    /// Tokens of the answer that the caller expects; it is right in the middle and often far off.
    pub expected_tokens: Option<u32>,
}

impl Prompt {
    /// Keys of its parts under `salt`, each with the tokens to its end.
    pub fn keys(&self, salt: &str) -> PromptKeys {
        let mut end_tokens = 0;
        let mut keys = Vec::with_capacity(self.parts.len());
        for part in &self.parts {
            end_tokens += part.tokens;
            keys.push((PartKey::new(&self.model, salt, &part.id), end_tokens));
        }
        PromptKeys(keys)
    }

    /// Tokens of the parts that other requests may share: all but the last.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.tokens).sum()
    }
}
