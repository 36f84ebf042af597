//! A need that keeps a node from serving, and since when.

use std::time::Duration;

use ryerouter_core::Timestamp;

use super::Need;

/// Interval at which a need that lasts is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A need that keeps a node from serving, and since when.
#[derive(Debug)]
pub struct UnmetNeed {
    need: Need,
    since: Timestamp,
    logged_at: Option<Timestamp>,
}

impl UnmetNeed {
    /// A need that was noticed now.
    pub fn new(need: Need, now: Timestamp) -> Self {
        Self {
            need,
            since: now,
            logged_at: None,
        }
    }

    /// What is needed.
    pub fn need(&self) -> &Need {
        &self.need
    }

    /// How long it has been needed.
    pub fn lasted(&self, now: Timestamp) -> Duration {
        now.since(self.since)
    }

    /// Whether it is to be logged, which then counts as done.
    pub fn take_log_turn(&mut self, now: Timestamp) -> bool {
        let is_due = |at| now.since(at) >= LOG_INTERVAL;
        let is_turn = self.logged_at.is_none_or(is_due);
        if is_turn {
            self.logged_at = Some(now);
        }
        is_turn
    }
}
