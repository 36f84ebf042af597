//! Exponential moving average.

/// Exponential moving average.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct MovingAverage {
    value: f64,
    weight: f64,
}

impl MovingAverage {
    /// Starts at `value`; each sample has the given `weight` (between 0 and 1).
    pub(super) fn new(value: f64, weight: f64) -> Self {
        Self { value, weight }
    }

    pub(super) fn add(&mut self, sample: f64) {
        self.value += self.weight * (sample - self.value);
    }

    pub(super) fn value(self) -> f64 {
        self.value
    }
}
