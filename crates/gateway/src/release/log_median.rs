//! The median of a time that is measured again and again.

use std::time::Duration;

/// Values until the median is used: with fewer a single slow answer could pass for what is usual.
const MIN_VALUES: u32 = 8;
/// Each value moves the median by this much at least, as a share of itself: it follows a change of load
/// within some tens of answers.
const MIN_STEP: f64 = 0.03;
/// Shorter times count as this long: they are not measured more exactly, and zero has no logarithm.
const MIN_TIME: Duration = Duration::from_micros(100);

/// The median of a time that is measured again and again, tracked by its logarithm: each value moves it
/// a little up or down, however far off it is, since answers have heavy tails.
#[derive(Debug, Clone, Copy)]
pub struct LogMedian {
    log: f64,
    values: u32,
}

impl LogMedian {
    /// After the first value.
    pub fn first(value: Duration) -> Self {
        Self {
            log: log_of(value),
            values: 1,
        }
    }

    /// Takes another value in.
    pub fn note(&mut self, value: Duration) {
        self.values = self.values.saturating_add(1);
        let difference = log_of(value) - self.log;
        let step = (1.0 / f64::from(self.values)).max(MIN_STEP);
        self.log += difference.clamp(-step, step);
    }

    /// The median, once enough was seen.
    pub fn get(&self) -> Option<Duration> {
        let is_settled = self.values >= MIN_VALUES;
        is_settled.then(|| Duration::from_secs_f64(self.log.exp()))
    }
}

fn log_of(value: Duration) -> f64 {
    value.max(MIN_TIME).as_secs_f64().ln()
}
