//! A rate that was measured lately.

use std::time::Duration;

use crate::Timestamp;

/// Measures an amount a second, averaged over about a given time: what lies further back counts
/// ever less.
#[derive(Debug, Clone, Copy)]
pub struct Meter {
    span: Duration,
    rate: f64,
    at: Timestamp,
}

impl Meter {
    /// A meter that has seen nothing.
    pub fn new(span: Duration, now: Timestamp) -> Self {
        Self {
            span,
            rate: 0.0,
            at: now,
        }
    }

    /// Counts an amount; a negative one takes back what was counted.
    pub fn count(&mut self, amount: f64, now: Timestamp) {
        let added = amount / self.span.as_secs_f64();
        self.rate = (self.per_second(now) + added).max(0.0);
        self.at = now;
    }

    /// Amount a second.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        let spans = now.since(self.at).as_secs_f64() / self.span.as_secs_f64();
        self.rate * (-spans).exp()
    }
}
