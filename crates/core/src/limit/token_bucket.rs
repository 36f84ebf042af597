//! Token bucket.

use std::time::Duration;

use crate::timestamp::Timestamp;

const MICROS: i128 = 1_000_000;

/// A bucket that fills at a rate and holds what accumulates in `burst`, but at least one token.
///
/// A full bucket allows a single take of more than it holds, which leaves a debt.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Level in millionths of a token; negative while there is a debt.
    level: i128,
    /// Rate in thousandths of a token per second.
    rate_milli: u64,
    burst: Duration,
    filled_at: Timestamp,
}

impl TokenBucket {
    /// Creates an empty bucket that fills at `rate_milli` thousandths of a token per second from
    /// `now` on.
    pub fn empty(rate_milli: u64, burst: Duration, now: Timestamp) -> Self {
        Self {
            level: 0,
            rate_milli,
            burst,
            filled_at: now,
        }
    }

    /// Changes the rate from `now` on; tokens beyond the new capacity are lost.
    pub fn set_rate(&mut self, rate_milli: u64, now: Timestamp) {
        self.fill(now);
        self.rate_milli = rate_milli;
        self.level = self.level.min(self.capacity());
    }

    /// Takes up to `wanted` whole tokens and returns how many were taken.
    pub fn take(&mut self, wanted: u64, now: Timestamp) -> u64 {
        self.fill(now);
        let available = u64::try_from(self.level / MICROS).unwrap_or_default();
        let taken = wanted.min(available);
        self.level -= i128::from(taken) * MICROS;
        taken
    }

    /// When the bucket holds a whole token, `now` at the earliest; `None` if it never will.
    pub fn next_at(&self, now: Timestamp) -> Option<Timestamp> {
        let missing = MICROS - self.level;
        let wait_micros = match self.rate_milli {
            _ if missing <= 0 => 0,
            0 => return None,
            rate_milli => 1 + (missing * 1_000 - 1) / i128::from(rate_milli),
        };
        let wait = Duration::from_micros(u64::try_from(wait_micros).unwrap_or(u64::MAX));
        Some(self.filled_at.after(wait).max(now))
    }

    /// Takes up to `wanted` whole tokens, but none if that is fewer than `minimum`. A full bucket
    /// gives `minimum` even if it holds less, and keeps the rest as a debt.
    pub fn take_at_least(&mut self, minimum: u64, wanted: u64, now: Timestamp) -> u64 {
        self.fill(now);
        let needed = i128::from(minimum) * MICROS;
        if self.level >= needed {
            return self.take(wanted.max(minimum), now);
        }
        let full = self.rate_milli > 0 && self.level >= self.capacity();
        if !full {
            return 0;
        }
        self.level -= needed;
        minimum
    }

    fn capacity(&self) -> i128 {
        let filled = i128::from(self.rate_milli) * self.burst.as_micros() as i128 / 1_000;
        if self.rate_milli == 0 {
            0
        } else {
            filled.max(MICROS)
        }
    }

    fn fill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.filled_at).as_micros() as i128;
        self.filled_at = self.filled_at.max(now);
        let filled = self.level + elapsed * i128::from(self.rate_milli) / 1_000;
        self.level = filled.min(self.capacity());
    }
}
