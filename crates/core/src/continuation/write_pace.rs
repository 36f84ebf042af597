//! How often the records of a shard are written.

use std::time::Duration;

use crate::Timestamp;

/// Number of writes that may follow each other at once after a time without any.
const BURST: u32 = 4;

/// Paces writes: one per interval in the long run, and a few at once after a time without any, so that a stream seldom waits
/// for its record while few begin.
#[derive(Debug, Clone)]
pub struct WritePace {
    interval: Duration,
    /// When all writes so far would have been made, had each taken the interval.
    paid_at: Timestamp,
}

impl WritePace {
    /// No write has been made yet.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            paid_at: Timestamp::ZERO,
        }
    }

    /// Counts a write that has just been made; returns the pause before the next one.
    pub fn pause_after_write(&mut self, now: Timestamp) -> Duration {
        self.paid_at = self.paid_at.max(now).after(self.interval);
        let ahead = self.paid_at.since(now);
        ahead.saturating_sub(self.interval * (BURST - 1))
    }
}
