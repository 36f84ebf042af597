//! Mean and deviation of a time.

use std::time::Duration;

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

/// Mean and mean deviation of a time, as RFC 6298 estimates round trips.
#[derive(Debug, Clone, Copy, Default)]
pub struct TimeEstimate {
    mean_s: f64,
    deviation_s: f64,
    values: u32,
}

impl TimeEstimate {
    /// Takes a value in.
    pub fn note(&mut self, value: Duration) {
        let value_s = value.as_secs_f64();
        if self.values == 0 {
            self.mean_s = value_s;
            self.deviation_s = value_s / 2.0;
            self.values = 1;
            return;
        }
        self.values = self.values.saturating_add(1);
        // The first values weigh as in a plain mean, so that the very first is soon outweighed.
        let least_gain = 1.0 / f64::from(self.values);
        let difference = value_s - self.mean_s;
        self.deviation_s += DEVIATION_GAIN.max(least_gain) * (difference.abs() - self.deviation_s);
        self.mean_s += MEAN_GAIN.max(least_gain) * difference;
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
        let longest_s = self.mean_s + deviations * self.deviation_s;
        Duration::from_secs_f64(longest_s).max(LEAST_SILENCE)
    }
}
