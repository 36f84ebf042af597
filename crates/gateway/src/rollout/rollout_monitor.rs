//! Reports how far a rollout is.

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use slog::{info, warn};

use super::stall::Stall;
use super::{BehindReason, RolloutPlanner, RolloutStanding};
use crate::gateway::Gateway;

/// Time between scans of all engines; there may be ten thousand.
const SCAN_INTERVAL: Duration = Duration::from_secs(1);

/// Reports how far a rollout is while this process holds the lease: in a gauge by reason, and in the
/// log when the rollout stands still.
pub(super) struct RolloutMonitor {
    gateway: Rc<Gateway>,
    stall: Stall,
    /// When the engines were last scanned; `None` while there is nothing to report.
    scanned_at: Option<Timestamp>,
}

impl RolloutMonitor {
    pub(super) fn new(gateway: Rc<Gateway>) -> Self {
        Self {
            gateway,
            stall: Stall::default(),
            scanned_at: None,
        }
    }

    /// Engines are behind; they are scanned if the last scan is old enough.
    pub(super) fn observe(&mut self, planner: &RolloutPlanner, fence: u64, now: Timestamp) {
        let is_recent = |at: Timestamp| now.since(at) < SCAN_INTERVAL;
        if self.scanned_at.is_some_and(is_recent) {
            return;
        }
        self.scanned_at = Some(now);
        let state = self.gateway.state();
        let standing = planner.standing(&state.engines, &state.deadlines, now);
        drop(state);
        self.show(&standing);
        self.detect_stall(&standing, fence, now);
    }

    /// An order was given.
    pub(super) fn note_order(&mut self, fence: u64, now: Timestamp) {
        if let Some(stalled) = self.stall.note_order(now) {
            info!(self.gateway.log(), "rollout_resumed"; "fence" => fence,
                "after_ms" => stalled.as_millis() as u64);
        }
    }

    /// No engine is behind, or another process gives orders.
    pub(super) fn clear(&mut self) {
        if self.scanned_at.take().is_some() {
            self.stall = Stall::default();
            self.show(&RolloutStanding::default());
        }
    }

    fn show(&self, standing: &RolloutStanding) {
        let gauge = &self.gateway.metrics().engines_behind;
        for reason in BehindReason::ALL {
            let count = standing.count(reason) as i64;
            gauge.with_label_values(&[&reason.to_string()]).set(count);
        }
    }

    fn detect_stall(&mut self, standing: &RolloutStanding, fence: u64, now: Timestamp) {
        if !self.is_late(standing, now) {
            self.stall.note_in_time();
            return;
        }
        if let Some(quiet) = self.stall.note_late(now) {
            let count = |reason| standing.count(reason);
            warn!(self.gateway.log(), "rollout_stalled"; "fence" => fence,
                "without_order_ms" => quiet.as_millis() as u64, "behind" => standing.behind(),
                "ordered" => count(BehindReason::Ordered),
                "waiting" => count(BehindReason::Waiting),
                "suspect" => count(BehindReason::Suspect),
                "resting" => count(BehindReason::Resting),
                "unlisted" => count(BehindReason::Unlisted),
                "leaving" => count(BehindReason::Leaving));
        }
    }

    /// Whether engines are still behind when all should have loaded: a rollout is begun so early
    /// that it has time to spare.
    fn is_late(&self, standing: &RolloutStanding, now: Timestamp) -> bool {
        let spare = self.gateway.settings().rollout.spare_time;
        let deadline = standing.first_deadline();
        deadline.is_some_and(|deadline| now.after(spare) >= deadline)
    }
}
