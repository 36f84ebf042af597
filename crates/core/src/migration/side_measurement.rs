//! What was measured at one data centre.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::LatencyHistogram;

const PERMILLE: u64 = 1_000;

/// What was measured of a stage's requests at one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SideMeasurement {
    /// Attempts that ended.
    #[serde(rename = "n", default)]
    pub attempts: u64,
    /// Attempts that broke, or may have run without an answer.
    #[serde(rename = "e", default)]
    pub errors: u64,
    /// Prompt tokens.
    #[serde(rename = "p", default)]
    pub prompt_tokens: u64,
    /// Prompt tokens that came from caches.
    #[serde(rename = "c", default)]
    pub cached_tokens: u64,
    /// Times from arrival to first token.
    #[serde(rename = "f", default)]
    pub first_token: LatencyHistogram,
}

impl SideMeasurement {
    /// Adds another.
    pub fn add(&mut self, other: &Self) {
        self.attempts += other.attempts;
        self.errors += other.errors;
        self.prompt_tokens += other.prompt_tokens;
        self.cached_tokens += other.cached_tokens;
        self.first_token.add(&other.first_token);
    }

    /// Failed attempts in thousandths.
    pub fn error_permille(&self) -> u64 {
        self.errors * PERMILLE / self.attempts.max(1)
    }

    /// Prompt tokens from caches in thousandths; `None` without prompts.
    pub fn hit_rate_permille(&self) -> Option<u64> {
        (self.prompt_tokens > 0).then(|| self.cached_tokens * PERMILLE / self.prompt_tokens)
    }

    /// 99th percentile of the time to first token.
    pub fn first_token_p99(&self) -> Option<Duration> {
        self.first_token.quantile(990)
    }
}
