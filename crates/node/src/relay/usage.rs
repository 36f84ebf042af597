//! Token counts of an answer.

use serde::Deserialize;

use super::PromptTokensDetails;

/// Token counts of an answer, as the OpenAI API names them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Details of the prompt's tokens.
    #[serde(default)]
    pub prompt_tokens_details: Option<PromptTokensDetails>,
}

#[derive(Deserialize)]
struct UsageDocument {
    usage: Option<Usage>,
}

impl Usage {
    /// Reads the counts from a chunk or a whole answer.
    pub fn parse(json: &[u8]) -> Option<Self> {
        let document: UsageDocument = serde_json::from_slice(json).ok()?;
        document.usage
    }

    /// Tokens of the prompt that came from the engine's cache.
    pub fn cached_tokens(&self) -> u32 {
        self.prompt_tokens_details
            .map_or(0, |details| details.cached_tokens)
    }
}
