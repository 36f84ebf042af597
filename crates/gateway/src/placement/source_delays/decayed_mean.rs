//! A mean in which older values count less.

use std::time::Duration;

use ryerouter_core::Timestamp;

/// A mean in which the weight of each value halves with each half-life.
#[derive(Debug, Clone, Copy)]
pub(super) struct DecayedMean {
    half_life: Duration,
    sum: f64,
    weight: f64,
    at: Timestamp,
}

impl DecayedMean {
    pub(super) fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            sum: 0.0,
            weight: 0.0,
            at: Timestamp::ZERO,
        }
    }

    pub(super) fn note(&mut self, value: f64, now: Timestamp) {
        let decay = self.decay(now);
        self.sum = self.sum * decay + value;
        self.weight = self.weight * decay + 1.0;
        self.at = now;
    }

    /// The mean; `None` before the first value.
    pub(super) fn mean(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }

    /// Number of values, each counted by its remaining weight.
    pub(super) fn weight(&self, now: Timestamp) -> f64 {
        self.weight * self.decay(now)
    }

    fn decay(&self, now: Timestamp) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / self.half_life.as_secs_f64();
        0.5_f64.powf(half_lives)
    }
}
