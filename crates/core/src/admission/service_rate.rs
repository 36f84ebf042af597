//! How fast requests get through.

use std::time::Duration;

use crate::placement::DecayedRate;
use crate::timestamp::Timestamp;

const TIME_CONSTANT: Duration = Duration::from_secs(5);
const MIN_WAIT: Duration = Duration::from_millis(100);
const MAX_WAIT: Duration = Duration::from_secs(30);

/// How fast the requests of a pool get through, to tell a refused caller when to come back.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceRate {
    completions: DecayedRate,
}

impl ServiceRate {
    /// Nothing got through yet.
    pub fn new(now: Timestamp) -> Self {
        Self {
            completions: DecayedRate::new(now),
        }
    }

    /// A request got through.
    pub fn count(&mut self, now: Timestamp) {
        self.completions.add(1.0, now, TIME_CONSTANT);
    }

    /// How long `waiting` requests need to get through.
    pub fn estimated_wait(&self, waiting: usize, now: Timestamp) -> Duration {
        let per_second = self.completions.per_second(now, TIME_CONSTANT);
        let seconds = waiting as f64 / per_second.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.clamp(MIN_WAIT.as_secs_f64(), MAX_WAIT.as_secs_f64()))
    }
}
