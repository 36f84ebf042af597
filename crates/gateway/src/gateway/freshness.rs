//! When a replica was last known to be current.

use std::time::Duration;

use ryerouter_core::Timestamp;

/// When a replica was last confirmed current.
///
/// Invariant: the time is never later than the moment at which the source produced the answer that
/// confirmed it; the send time of the request is used.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    confirmed_at: Option<Timestamp>,
}

impl Freshness {
    /// Records that the source answered a request sent at `asked_at` with the current state.
    pub fn confirm(&mut self, asked_at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }

    /// When the replica was last confirmed current.
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    /// Time since the last confirmation.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Whether the last confirmation is younger than `limit`.
    pub fn is_within(&self, limit: Duration, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
