//! Retry budget of a process.

use std::time::Duration;

use crate::timestamp::Timestamp;

/// Retries that each success earns.
const RETRIES_PER_SUCCESS: f64 = 0.2;
/// Retries earned per second, so that a process with little traffic can retry as well.
const RETRIES_PER_SECOND: f64 = 2.0;
const INITIAL_RETRIES: f64 = 10.0;
const MAX_RETRIES: f64 = 100.0;

/// Bounds retries to a fraction of successes, so that a failure of many engines does not multiply
/// the load on the others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    retries: f64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Budget of a process that has just started.
    pub fn new(now: Timestamp) -> Self {
        Self {
            retries: INITIAL_RETRIES,
            refilled_at: now,
        }
    }

    /// Records a successful request.
    pub fn earn(&mut self) {
        self.retries = (self.retries + RETRIES_PER_SUCCESS).min(MAX_RETRIES);
    }

    /// Takes one retry; returns `false` when there is none left.
    #[must_use]
    pub fn spend(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }

    /// Time until the next retry is earned without further successes.
    pub fn time_to_next_retry(&self) -> Duration {
        let missing = (1.0 - self.retries).max(0.0);
        Duration::from_secs_f64(missing / RETRIES_PER_SECOND)
    }

    fn refill(&mut self, now: Timestamp) {
        let passed = now.since(self.refilled_at).as_secs_f64();
        // Time alone never fills the budget beyond its initial size.
        let earned = (passed * RETRIES_PER_SECOND).min((INITIAL_RETRIES - self.retries).max(0.0));
        self.retries += earned;
        self.refilled_at = now.max(self.refilled_at);
    }
}
