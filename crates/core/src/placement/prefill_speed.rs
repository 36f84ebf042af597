//! Prefill throughput of engines.

/// Weight of a sample above the estimate.
const RISE_WEIGHT: f64 = 0.2;
/// Weight of a sample below the estimate. It is small because most such samples show a busy engine,
/// not a slow one.
const FALL_WEIGHT: f64 = 0.02;

/// Estimates how many prompt tokens an engine of a pool computes per second, from the time to the
/// first token of requests that found the engine idle.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillSpeed {
    tokens_per_second: f64,
}

impl PrefillSpeed {
    /// Starts from an initial estimate.
    pub fn new(tokens_per_second: f64) -> Self {
        Self { tokens_per_second }
    }

    /// Estimated tokens per second.
    pub fn tokens_per_second(self) -> f64 {
        self.tokens_per_second
    }

    /// Applies a measurement.
    pub fn observe(&mut self, tokens_per_second: f64) {
        let weight = if tokens_per_second > self.tokens_per_second {
            RISE_WEIGHT
        } else {
            FALL_WEIGHT
        };
        self.tokens_per_second += weight * (tokens_per_second - self.tokens_per_second);
    }
}
