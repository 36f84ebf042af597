//! Running median of a repeatedly measured duration.

use std::time::Duration;

/// Number of values from which the median is used: with fewer, one slow answer could count as typical.
const MIN_VALUES: u32 = 8;
/// Lower bound of the maximum relative change of the median per value. Without it, the maximum would shrink further
/// with each value; with it, the median follows a change of load within some tens of answers.
const MIN_STEP: f64 = 0.03;
/// Shorter times are rounded up to this value: the measurement is no more precise, and zero has no logarithm.
const MIN_TIME: Duration = Duration::from_micros(100);

/// Running median of a repeatedly measured duration, tracked on a logarithmic scale. Each value moves the
/// median by a limited step, since the distribution of answer times has a heavy tail.
#[derive(Debug, Clone, Copy)]
pub struct LogMedian {
    /// Natural logarithm of the median in seconds.
    log: f64,
    /// Number of values so far.
    values: u32,
}

impl LogMedian {
    /// Starts with a first value.
    pub fn first(value: Duration) -> Self {
        Self {
            log: log_of(value),
            values: 1,
        }
    }

    /// Updates the median with another value.
    pub fn record(&mut self, value: Duration) {
        self.values = self.values.saturating_add(1);
        let difference = log_of(value) - self.log;
        let step = (1.0 / f64::from(self.values)).max(MIN_STEP);
        self.log += difference.clamp(-step, step);
    }

    /// The median, once there are enough values.
    pub fn get(&self) -> Option<Duration> {
        let is_settled = self.values >= MIN_VALUES;
        is_settled.then(|| Duration::from_secs_f64(self.log.exp()))
    }
}

fn log_of(value: Duration) -> f64 {
    value.max(MIN_TIME).as_secs_f64().ln()
}
