//! A prompt.

use ryerouter_core::dispatch::Priority;
use ryerouter_core::prompt::PrefixChain;

use super::Message;

/// A prompt and what its answer costs.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelPrompt {
    /// Its messages, from the house style to the question.
    pub messages: Vec<Message>,
    /// Its nested prefixes.
    pub prefix: PrefixChain,
    /// Its tokens.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
    /// How urgent it is.
    pub priority: Priority,
}
