//! Times by which the first tokens of a group of requests came later than expected.

use std::time::Duration;

use ryerouter_core::Timestamp;

use super::decayed_mean::DecayedMean;

/// A measurement counts half after this time. Queues at a store's link build up and drain within a
/// second or two.
const HALF_LIFE: Duration = Duration::from_millis(700);
/// Longest time that counts, in milliseconds. Engines wait for a transfer for two seconds at most, so
/// a later first token has another cause.
const MAX_EXCESS_MS: f64 = 2_200.0;
/// Times well below this are alike on the logarithmic scale, in milliseconds.
const LOG_SCALE_MS: f64 = 100.0;

/// Times by which the first tokens of a group of requests came later than expected.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExcessTimes {
    linear_ms: DecayedMean,
    logarithmic: DecayedMean,
}

impl Default for ExcessTimes {
    fn default() -> Self {
        Self {
            linear_ms: DecayedMean::new(HALF_LIFE),
            logarithmic: DecayedMean::new(HALF_LIFE),
        }
    }
}

impl ExcessTimes {
    /// Records a time; returns its deviation from the mean so far, on the logarithmic scale. Times
    /// that the delay of a store doesn't explain are ignored.
    pub(super) fn note(&mut self, excess_ms: f64, now: Timestamp) -> Option<f64> {
        if excess_ms > MAX_EXCESS_MS {
            return None;
        }
        let excess_ms = excess_ms.max(-MAX_EXCESS_MS);
        let logarithm = (excess_ms.max(0.0) / LOG_SCALE_MS).ln_1p();
        let mean = self.logarithmic.mean();
        self.linear_ms.note(excess_ms, now);
        self.logarithmic.note(logarithm, now);
        mean.map(|mean| (logarithm - mean).abs())
    }

    /// Mean in milliseconds; `None` before the first time.
    pub(super) fn mean_ms(&self) -> Option<f64> {
        self.linear_ms.mean()
    }

    /// Mean on the logarithmic scale; `None` before the first time.
    pub(super) fn log_mean(&self) -> Option<f64> {
        self.logarithmic.mean()
    }

    /// Number of times, each counted by its remaining weight.
    pub(super) fn weight(&self, now: Timestamp) -> f64 {
        self.linear_ms.weight(now)
    }
}
