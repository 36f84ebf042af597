//! The limit of a tenant.

use ryerouter_core::quota::Limit;

use crate::placement::Prompt;

/// What a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and of the longest answer together.
    Tokens {
        /// What a request without a prompt counts for.
        plain: u32,
    },
}

/// What a tenant may use over all nodes together; see docs/design/tenant-limits.md.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// How much.
    pub limit: Limit,
    /// Of what.
    pub unit: Unit,
}

impl RateLimit {
    /// What a request with this prompt uses.
    pub fn amount(&self, prompt: Option<&Prompt>) -> f64 {
        match (self.unit, prompt) {
            (Unit::Requests, _) => 1.0,
            (Unit::Tokens { plain }, None) => f64::from(plain),
            (Unit::Tokens { .. }, Some(prompt)) => {
                f64::from(prompt.prompt_tokens) + f64::from(prompt.output_tokens)
            }
        }
    }
}
