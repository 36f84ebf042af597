//! Event rate with exponential decay.

use std::time::Duration;

use crate::timestamp::Timestamp;

/// Estimates how often an event occurs; older events weigh less.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DecayedRate {
    /// Sum of the events, each weighted by `e^(−age ÷ time constant)`.
    weight: f64,
    updated_at: Timestamp,
}

impl DecayedRate {
    /// Starts with a rate of zero.
    pub fn new(now: Timestamp) -> Self {
        Self {
            weight: 0.0,
            updated_at: now,
        }
    }

    /// Counts `events` more.
    pub fn add(&mut self, events: f64, now: Timestamp, time_constant: Duration) {
        self.weight = self.weight_at(now, time_constant) + events;
        self.updated_at = now.max(self.updated_at);
    }

    /// Events per second.
    pub fn per_second(&self, now: Timestamp, time_constant: Duration) -> f64 {
        self.weight_at(now, time_constant) / time_constant.as_secs_f64()
    }

    fn weight_at(&self, now: Timestamp, time_constant: Duration) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.weight * (-age / time_constant.as_secs_f64()).exp()
    }
}
