//! How often each prompt ran.

use std::collections::HashMap;

use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_128;

/// Counts how often engines began to answer each prompt, over all engines together. A prompt that
/// must run at most once is made unique by its sender.
#[derive(Debug, Default)]
pub struct ExecutionLedger {
    executions: Mutex<HashMap<u128, u32>>,
}

impl ExecutionLedger {
    /// An engine took a prompt from its start.
    pub fn note(&self, prompt: &str) {
        let key = xxh3_128(prompt.as_bytes());
        *self.executions.lock().entry(key).or_default() += 1;
    }

    /// How often a prompt was taken.
    pub fn count(&self, prompt: &str) -> u32 {
        let key = xxh3_128(prompt.as_bytes());
        self.executions.lock().get(&key).copied().unwrap_or(0)
    }
}
