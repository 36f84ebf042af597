//! Load of an engine as last told.

use std::time::Duration;

use crate::timestamp::Timestamp;

/// After this long little is left of what an engine told of requests of other processes.
const TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Load of an engine as it last told, and how much of it was this process's own.
#[derive(Debug, Clone, Copy)]
pub(super) struct ObservedLoad {
    pub(super) running: u32,
    pub(super) waiting: u32,
    pub(super) own_in_flight: u32,
    pub(super) at: Timestamp,
    /// Told by an answer, not by a lagging report.
    pub(super) in_band: bool,
}

impl ObservedLoad {
    /// Share of its requests that are this process's own, if it had any.
    pub(super) fn own_share(&self) -> Option<f64> {
        let total = self.running + self.waiting;
        (total > 0).then(|| (f64::from(self.own_in_flight) / f64::from(total)).min(1.0))
    }

    /// Requests of other processes that wait now (estimate).
    pub(super) fn foreign_waiting(&self, now: Timestamp) -> f64 {
        f64::from(self.waiting) * self.foreign_share() * self.freshness(now)
    }

    /// Requests of other processes that run now (estimate).
    pub(super) fn foreign_running(&self, now: Timestamp) -> f64 {
        f64::from(self.running) * self.foreign_share() * self.freshness(now)
    }

    fn foreign_share(&self) -> f64 {
        1.0 - self.own_share().unwrap_or(1.0)
    }

    fn freshness(&self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        (-age / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
