//! Token bucket.

use std::time::Duration;

use crate::timestamp::Timestamp;

const MICROS: i128 = 1_000_000;

/// A bucket that fills at a rate and holds what fills in `burst`, at least one token.
///
/// One take larger than the bucket is allowed when it is full, and leaves a debt.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens in millionths; negative is debt.
    level: i128,
    /// Thousandths of a token a second.
    rate_milli: u64,
    burst: Duration,
    filled_at: Timestamp,
}

impl TokenBucket {
    /// An empty bucket that fills at `rate_milli` thousandths of a token a second from `now` on.
    pub fn empty(rate_milli: u64, burst: Duration, now: Timestamp) -> Self {
        Self {
            level: 0,
            rate_milli,
            burst,
            filled_at: now,
        }
    }

    /// Changes the rate from `now` on; what a smaller bucket can't hold is lost.
    pub fn set_rate(&mut self, rate_milli: u64, now: Timestamp) {
        self.fill(now);
        self.rate_milli = rate_milli;
        self.level = self.level.min(self.capacity());
    }

    /// Takes up to `wanted` whole tokens and returns how many.
    pub fn take(&mut self, wanted: u64, now: Timestamp) -> u64 {
        self.fill(now);
        let available = u64::try_from(self.level / MICROS).unwrap_or_default();
        let taken = wanted.min(available);
        self.level -= i128::from(taken) * MICROS;
        taken
    }

    /// When the bucket holds a whole token, `now` at the earliest; `None` when it never will.
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

    /// Takes up to `wanted` whole tokens, but none if that is fewer than `minimum`; a full bucket
    /// gives `minimum` even if it does not hold as many, and owes the rest.
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
