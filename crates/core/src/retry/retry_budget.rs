//! The retry budget.

use std::time::Duration;

use crate::timestamp::Timestamp;

/// Retries that each success earns.
const EARNED_BY_SUCCESS: f64 = 0.2;
/// Retries earned by the passage of time, so that a quiet process may retry as well.
const EARNED_A_SECOND: f64 = 2.0;
const INITIAL: f64 = 10.0;
const LARGEST: f64 = 100.0;

/// Bounds retries to a fraction of successes, so that a failure of many engines does not multiply
/// the load on the rest.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    retries: f64,
    filled_at: Timestamp,
}

impl RetryBudget {
    /// The budget of a fresh process.
    pub fn new(now: Timestamp) -> Self {
        Self {
            retries: INITIAL,
            filled_at: now,
        }
    }

    /// A request succeeded.
    pub fn earn(&mut self) {
        self.retries = (self.retries + EARNED_BY_SUCCESS).min(LARGEST);
    }

    /// Takes one retry; `false` when there is none left.
    #[must_use]
    pub fn spend(&mut self, now: Timestamp) -> bool {
        self.fill(now);
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }

    /// How long until the passage of time alone has earned one retry.
    pub fn next_in(&self) -> Duration {
        let missing = (1.0 - self.retries).max(0.0);
        Duration::from_secs_f64(missing / EARNED_A_SECOND)
    }

    fn fill(&mut self, now: Timestamp) {
        let passed = now.since(self.filled_at).as_secs_f64();
        // Time alone never fills more than a fresh process has.
        let earned = (passed * EARNED_A_SECOND).min((INITIAL - self.retries).max(0.0));
        self.retries += earned;
        self.filled_at = now.max(self.filled_at);
    }
}
