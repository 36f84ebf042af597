//! Upper estimate of the time that an answer phase takes.

use std::time::Duration;

use crate::smoothed_time::{Gains, SmoothedTime};

/// Weight of a new sample in the mean. RFC 6298 uses 1/8 for one sample per round trip. Here many
/// samples arrive in that time, and with heavy tails a larger weight would make the mean jump.
const MEAN_GAIN: f64 = 1.0 / 32.0;
/// Weight of a new sample in the deviation; twice that of the mean, as in RFC 6298.
const DEVIATION_GAIN: f64 = 2.0 * MEAN_GAIN;
/// Minimum number of samples before the estimate is used.
const MIN_SAMPLES: u32 = 16;
/// Minimum timeout. A lost TCP segment is retransmitted after 200 ms at the earliest
/// (`TCP_RTO_MIN`), and the answer to it takes a moment more.
const MIN_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of deviations above the mean that counts as too long while the engine answers requests
/// sent later. Answer times have heavy tails; the rate of false alarms is measured in
/// docs/design/accounting.md.
const DEVIATIONS_WITH_LATER_ANSWERS: f64 = 8.0;
/// Number of deviations above the mean that counts as too long while the engine sends nothing at
/// all. It is larger than [`DEVIATIONS_WITH_LATER_ANSWERS`], because the engine may only be
/// slow.
const DEVIATIONS_WITHOUT_ANSWERS: f64 = 32.0;

/// Upper estimate of the time that an answer phase takes.
#[derive(Debug, Clone, Copy)]
pub struct TimeEstimate {
    time: SmoothedTime,
    samples: u32,
}

impl TimeEstimate {
    /// Creates an estimate from its first sample.
    pub fn first(sample: Duration) -> Self {
        Self {
            time: SmoothedTime::first(sample),
            samples: 1,
        }
    }

    /// Adds a sample.
    pub fn note(&mut self, sample: Duration) {
        self.samples = self.samples.saturating_add(1);
        // The first samples have equal weights, so that the very first one doesn't dominate for
        // long.
        let sample_gain = 1.0 / f64::from(self.samples);
        let gains = Gains {
            mean: MEAN_GAIN.max(sample_gain),
            deviation: DEVIATION_GAIN.max(sample_gain),
        };
        self.time.note(sample, gains);
    }

    /// Whether there are enough samples to use the estimate.
    pub fn is_ready(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Time after which the phase is considered overdue while the engine answers requests sent
    /// later.
    pub fn max_with_later_answers(&self) -> Duration {
        self.timeout(DEVIATIONS_WITH_LATER_ANSWERS)
    }

    /// Time after which the phase is considered overdue while the engine sends nothing at all.
    pub fn max_without_answers(&self) -> Duration {
        self.timeout(DEVIATIONS_WITHOUT_ANSWERS)
    }

    fn timeout(&self, deviations: f64) -> Duration {
        self.time.above_mean(deviations).max(MIN_TIMEOUT)
    }
}
