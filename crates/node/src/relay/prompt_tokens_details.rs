//! Details of the prompt's tokens.

use serde::Deserialize;

/// Details of the prompt's tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct PromptTokensDetails {
    /// Those that came from the engine's cache.
    #[serde(default)]
    pub cached_tokens: u32,
}
