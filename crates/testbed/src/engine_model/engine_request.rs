//! A request as an engine sees it.

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
