//! How long a part of an answer takes at most.

use std::time::Duration;

use crate::smoothed_time::{Gains, SmoothedTime};

/// Weight of a new value in the mean. RFC 6298 takes 1/8 for one value a round trip; here many come
/// in that time, and heavy tails would make the mean jump.
const MEAN_GAIN: f64 = 1.0 / 32.0;
/// Weight of a new value in the deviation, twice that of the mean as in RFC 6298.
const DEVIATION_GAIN: f64 = 2.0 * MEAN_GAIN;
/// Values until an estimate is used.
const LEAST_VALUES: u32 = 16;
/// A segment that was lost is sent again after 200 ms at the earliest (`TCP_RTO_MIN`), and the answer
/// to it takes a moment; nothing shorter is silence.
const LEAST_SILENCE: Duration = Duration::from_millis(250);
/// Deviations above the mean that are too long while the engine answers what was sent later. Times
/// have heavy tails; how seldom this is wrong is measured in docs/design/accounting.md.
const DEVIATIONS_WHILE_OTHERS_ARE_ANSWERED: f64 = 8.0;
/// The same while nothing is heard of the engine, so that it may only be slow.
const DEVIATIONS_WITHOUT_NEWS: f64 = 32.0;

/// How long a part of an answer takes at most.
#[derive(Debug, Clone, Copy)]
pub struct TimeEstimate {
    time: SmoothedTime,
    values: u32,
}

impl TimeEstimate {
    /// After the first value.
    pub fn first(value: Duration) -> Self {
        Self {
            time: SmoothedTime::first(value),
            values: 1,
        }
    }

    /// Takes another value in.
    pub fn note(&mut self, value: Duration) {
        self.values = self.values.saturating_add(1);
        // The first values weigh as in a plain mean, so that the very first is soon outweighed.
        let least_gain = 1.0 / f64::from(self.values);
        let gains = Gains {
            mean: MEAN_GAIN.max(least_gain),
            deviation: DEVIATION_GAIN.max(least_gain),
        };
        self.time.note(value, gains);
    }

    /// Whether enough was seen.
    pub fn is_settled(&self) -> bool {
        self.values >= LEAST_VALUES
    }

    /// Longer than this hardly takes any, while the engine answers what was sent later.
    pub fn longest_while_others_are_answered(&self) -> Duration {
        self.longest(DEVIATIONS_WHILE_OTHERS_ARE_ANSWERED)
    }

    /// Longer than this hardly takes any, even when the engine is slow.
    pub fn longest_without_news(&self) -> Duration {
        self.longest(DEVIATIONS_WITHOUT_NEWS)
    }

    fn longest(&self, deviations: f64) -> Duration {
        self.time.above_mean(deviations).max(LEAST_SILENCE)
    }
}
