//! Detects that a rollout stands still.

use std::time::Duration;

use ryerouter_core::Timestamp;

/// A rollout that is late and gives no order for this long is stalled. Longer than an engine is
/// expected to load, since all others may have to wait for it.
const STALLED_AFTER: Duration = Duration::from_secs(4);
/// Time between reports of the same stall.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Whether a rollout stands still, and when that was last reported.
#[derive(Debug, Default)]
pub(super) struct Stall {
    /// When the rollout was first seen to be late, or gave its last order since then.
    quiet_since: Option<Timestamp>,
    reported_at: Option<Timestamp>,
}

impl Stall {
    /// The rollout is late. Returns for how long it has given no order, if that is to be reported
    /// now.
    pub(super) fn note_late(&mut self, now: Timestamp) -> Option<Duration> {
        let quiet = now.since(*self.quiet_since.get_or_insert(now));
        let last = self.reported_at;
        let is_report_due = last.is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
        if quiet < STALLED_AFTER || !is_report_due {
            return None;
        }
        self.reported_at = Some(now);
        Some(quiet)
    }

    /// The rollout has time left. A stall that was reported lasts until an order is given.
    pub(super) fn note_in_time(&mut self) {
        if self.reported_at.is_none() {
            self.quiet_since = None;
        }
    }

    /// An order was given. Returns how long the stall has lasted, if one was reported.
    pub(super) fn note_order(&mut self, now: Timestamp) -> Option<Duration> {
        let quiet_since = self.quiet_since.as_mut()?;
        let began = std::mem::replace(quiet_since, now);
        self.reported_at.take()?;
        Some(now.since(began))
    }
}
