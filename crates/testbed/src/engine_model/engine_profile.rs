//! Speed and sizes of an engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Speed and sizes of an engine.
///
/// The engine works in steps. A step computes one token for every decoding sequence and up to
/// `prefill_chunk_tokens` prompt tokens, and lasts
/// `step_base + decoding × step_per_sequence + prefill tokens ÷ prefill_tokens_per_second`.
/// The first token of an answer comes with the end of the step that computes its last prompt token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineProfile {
    /// Prompt tokens computed a second.
    pub prefill_tokens_per_second: u32,
    /// Most prompt tokens computed in one step.
    pub prefill_chunk_tokens: u32,
    /// Microseconds each step costs by itself.
    pub step_base_micros: u64,
    /// Microseconds each decoding sequence adds to a step.
    pub step_per_sequence_micros: u64,
    /// Most sequences at once.
    pub max_running: u32,
    /// Most requests that wait; one more is refused as overloaded.
    pub max_waiting: u32,
    /// KV memory in tokens, for running sequences and cached blocks together.
    pub kv_capacity_tokens: u32,
    /// Milliseconds after which waiting batch work counts as interactive, so that it never starves.
    pub batch_promotion_millis: u64,
    /// Tokens of KV cache imported or exported a second.
    pub kv_transfer_tokens_per_second: u32,
    /// Milliseconds an import takes before its first byte.
    pub kv_transfer_latency_millis: u64,
}

impl Default for EngineProfile {
    fn default() -> Self {
        Self {
            prefill_tokens_per_second: 12_000,
            prefill_chunk_tokens: 512,
            step_base_micros: 8_000,
            step_per_sequence_micros: 250,
            max_running: 32,
            max_waiting: 256,
            kv_capacity_tokens: 96_000,
            batch_promotion_millis: 5_000,
            kv_transfer_tokens_per_second: 100_000,
            kv_transfer_latency_millis: 3,
        }
    }
}

impl EngineProfile {
    /// How long a step with this work lasts.
    pub fn step_duration(&self, decoding: usize, prefill_tokens: u32) -> Duration {
        let decode = self.step_base_micros + decoding as u64 * self.step_per_sequence_micros;
        Duration::from_micros(decode) + self.prefill_duration(prefill_tokens)
    }

    /// How long computing prompt tokens takes, without the costs of the steps it is spread over.
    pub fn prefill_duration(&self, tokens: u32) -> Duration {
        let micros = u64::from(tokens) * 1_000_000 / u64::from(self.prefill_tokens_per_second);
        Duration::from_micros(micros)
    }

    /// How long moving KV cache to or from the KV store takes.
    pub fn kv_transfer_duration(&self, tokens: u32) -> Duration {
        let micros = u64::from(tokens) * 1_000_000 / u64::from(self.kv_transfer_tokens_per_second);
        Duration::from_micros(micros) + Duration::from_millis(self.kv_transfer_latency_millis)
    }

    /// How long batch work waits before it counts as interactive.
    pub fn batch_promotion(&self) -> Duration {
        Duration::from_millis(self.batch_promotion_millis)
    }
}
