//! Waiting after calls that failed.

use std::time::Duration;

use rand::Rng;

/// More doublings than any longest pause allows.
const MOST_DOUBLINGS: u32 = 6;

/// How long to wait after a call that failed: each failed call costs the operators of the source.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    /// The first pause; it doubles with each failure in a row.
    pub first: Duration,
    /// The longest.
    pub longest: Duration,
}

impl Backoff {
    /// The pause after so many failures in a row, shortened by up to a half at random, so that nodes do not ask together.
    pub fn pause_after(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(MOST_DOUBLINGS);
        let pause = (self.first * 2_u32.pow(doublings)).min(self.longest);
        pause.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}
