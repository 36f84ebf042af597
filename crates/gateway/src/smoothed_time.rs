//! Mean and deviation of a time that is measured again and again.

use std::time::Duration;

/// Mean and mean deviation of a time, as RFC 6298 estimates round trips.
#[derive(Debug, Clone, Copy)]
pub struct SmoothedTime {
    mean_s: f64,
    deviation_s: f64,
}

/// How much a new value weighs.
#[derive(Debug, Clone, Copy)]
pub struct Gains {
    /// In the mean.
    pub mean: f64,
    /// In the deviation.
    pub deviation: f64,
}

impl SmoothedTime {
    /// After the first value (RFC 6298, 2.2).
    pub fn first(value: Duration) -> Self {
        let mean_s = value.as_secs_f64();
        Self {
            mean_s,
            deviation_s: mean_s / 2.0,
        }
    }

    /// Takes another value in (RFC 6298, 2.3).
    pub fn note(&mut self, value: Duration, gains: Gains) {
        let difference = value.as_secs_f64() - self.mean_s;
        self.deviation_s += gains.deviation * (difference.abs() - self.deviation_s);
        self.mean_s += gains.mean * difference;
    }

    /// So many deviations above the mean.
    pub fn above_mean(&self, deviations: f64) -> Duration {
        Duration::from_secs_f64(self.mean_s + deviations * self.deviation_s)
    }
}
