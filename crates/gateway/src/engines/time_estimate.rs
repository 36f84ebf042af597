//! How long a part of an answer takes at most.

use std::time::Duration;

use crate::smoothed_time::{Gains, SmoothedTime};

/// Weight of a new value in the mean. RFC 6298 takes 1/8 for one value a round trip; here many come
/// in that time, and heavy tails would make the mean jump.
const MEAN_GAIN: f64 = 1.0 / 32.0;
/// Weight of a new value in the deviation, twice that of the mean as in RFC 6298.
const DEVIATION_GAIN: f64 = 2.0 * MEAN_GAIN;
/// Values until an estimate is used.
const MIN_SAMPLES: u32 = 16;
/// A segment that was lost is sent again after 200 ms at the earliest (`TCP_RTO_MIN`), and the answer
/// to it takes a moment; nothing shorter is silence.
const MIN_TIMEOUT: Duration = Duration::from_millis(250);
/// Deviations above the mean that are too long while the engine answers what was sent later. Times
/// have heavy tails; how seldom this is wrong is measured in docs/design/accounting.md.
const DEVIATIONS_WHILE_OTHERS_ANSWERED: f64 = 8.0;
/// The same while nothing is heard of the engine, so that it may only be slow.
const DEVIATIONS_WITHOUT_RESPONSE: f64 = 32.0;

/// How long a part of an answer takes at most.
#[derive(Debug, Clone, Copy)]
pub struct TimeEstimate {
    time: SmoothedTime,
    samples: u32,
}

impl TimeEstimate {
    /// After the first value.
    pub fn first(sample: Duration) -> Self {
        Self {
            time: SmoothedTime::first(sample),
            samples: 1,
        }
    }

    /// Takes another value in.
    pub fn note(&mut self, sample: Duration) {
        self.samples = self.samples.saturating_add(1);
        // The first values weigh as in a plain mean, so that the very first is soon outweighed.
        let sample_gain = 1.0 / f64::from(self.samples);
        let gains = Gains {
            mean: MEAN_GAIN.max(sample_gain),
            deviation: DEVIATION_GAIN.max(sample_gain),
        };
        self.time.note(sample, gains);
    }

    /// Whether enough was seen.
    pub fn is_ready(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Longer than this hardly takes any, while the engine answers what was sent later.
    pub fn max_while_others_answered(&self) -> Duration {
        self.timeout(DEVIATIONS_WHILE_OTHERS_ANSWERED)
    }

    /// Longer than this hardly takes any, even when the engine is slow.
    pub fn max_without_response(&self) -> Duration {
        self.timeout(DEVIATIONS_WITHOUT_RESPONSE)
    }

    fn timeout(&self, deviations: f64) -> Duration {
        self.time.above_mean(deviations).max(MIN_TIMEOUT)
    }
}
