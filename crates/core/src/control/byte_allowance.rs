//! A bound on bytes a second.

use crate::timestamp::Timestamp;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A bound on bytes a second, with some that may be spent at once.
#[derive(Debug, Clone, Copy)]
pub struct ByteAllowance {
    per_second: u64,
    burst: u64,
    saved: u64,
    filled_at: Timestamp,
}

impl ByteAllowance {
    /// A full allowance.
    pub fn new(per_second: u64, burst: u64) -> Self {
        Self {
            per_second,
            burst,
            saved: burst,
            filled_at: Timestamp::ZERO,
        }
    }

    /// Bytes that may be spent now.
    pub fn available(&mut self, now: Timestamp) -> u64 {
        let elapsed = now.since(self.filled_at).as_micros() as u64;
        let filled = elapsed.saturating_mul(self.per_second) / MICROS_PER_SECOND;
        if filled > 0 {
            self.filled_at = now;
            self.saved = self.burst.min(self.saved.saturating_add(filled));
        }
        self.saved
    }

    /// Spends bytes.
    pub fn spend(&mut self, bytes: u64) {
        self.saved = self.saved.saturating_sub(bytes);
    }
}
