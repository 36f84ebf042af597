//! Moving average of a rate.

use std::time::Duration;

use crate::Timestamp;

/// Measures an amount per second with exponential decay; `time_constant` is the approximate
/// averaging time.
#[derive(Debug, Clone, Copy)]
pub struct Meter {
    time_constant: Duration,
    rate: f64,
    updated_at: Timestamp,
}

impl Meter {
    /// Creates a meter with a rate of zero.
    pub fn new(time_constant: Duration, now: Timestamp) -> Self {
        Self {
            time_constant,
            rate: 0.0,
            updated_at: now,
        }
    }

    /// Counts an amount; a negative amount reverts an earlier one.
    pub fn count(&mut self, amount: f64, now: Timestamp) {
        let added = amount / self.time_constant.as_secs_f64();
        self.rate = (self.per_second(now) + added).max(0.0);
        self.updated_at = now;
    }

    /// Amount per second.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        let time_constants =
            now.since(self.updated_at).as_secs_f64() / self.time_constant.as_secs_f64();
        self.rate * (-time_constants).exp()
    }
}
