//! Throughput of a pool.

use std::time::Duration;

use crate::placement::DecayedRate;
use crate::timestamp::Timestamp;

const RATE_TIME_CONSTANT: Duration = Duration::from_secs(5);
const MIN_WAIT: Duration = Duration::from_millis(100);
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Rate at which requests of a pool complete, used to tell a refused caller when to retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceRate {
    completions: DecayedRate,
}

impl ServiceRate {
    /// Starts without completed requests.
    pub fn new(now: Timestamp) -> Self {
        Self {
            completions: DecayedRate::new(now),
        }
    }

    /// Counts a completed request.
    pub fn count(&mut self, now: Timestamp) {
        self.completions.add(1.0, now, RATE_TIME_CONSTANT);
    }

    /// Estimated time until `waiting` requests have completed.
    pub fn estimated_wait(&self, waiting: usize, now: Timestamp) -> Duration {
        let per_second = self.completions.per_second(now, RATE_TIME_CONSTANT);
        let seconds = waiting as f64 / per_second.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.clamp(MIN_WAIT.as_secs_f64(), MAX_WAIT.as_secs_f64()))
    }
}
