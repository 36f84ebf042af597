//! Whether the configuration is known to be current.

use std::time::Duration;

use ryerouter_core::Timestamp;

/// When the configuration was last certainly current.
///
/// Invariant: the time is never later than the moment at which the source gave the answer that
/// proved it; the moment at which the question was sent is used.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    confirmed_at: Option<Timestamp>,
}

impl Freshness {
    /// The source said, to a question sent at `asked_at`, what is current.
    pub fn confirm(&mut self, asked_at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }

    /// When the copy was last certainly current.
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    /// How old the proof is.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Whether the proof is younger than `limit`.
    pub fn is_within(&self, limit: Duration, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
