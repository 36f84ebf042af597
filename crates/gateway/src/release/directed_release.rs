//! A release that this node directs.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::release::{Grant, Outcome, Progress, Stage};

use super::RecordState;

/// Minimum time between two equal grants. Because the director checks only once per `TICK`, equal grants are
/// sent about every third of a second. This is short compared with the lifetime of a grant: a node that misses two in
/// a row still receives the next in time.
const GRANT_INTERVAL: Duration = Duration::from_millis(250);

/// A release that this node directs: its progress, the last grant sent to the nodes, and the state of its
/// record in the source.
#[derive(Debug, Clone)]
pub struct DirectedRelease {
    /// Progress through the stages.
    pub progress: Progress,
    /// State of the record in the source.
    pub record: RecordState,
    /// Number of consecutive failed calls for the record.
    pub failures: u32,
    /// Whether this director has recorded an outcome. Its first write changes the revision of the order; until then
    /// the source may still apply a late write of the previous director.
    pub has_recorded: bool,
    last_sent: Option<SentGrant>,
}

#[derive(Debug, Clone)]
struct SentGrant {
    grant: Grant,
    at: Timestamp,
}

impl DirectedRelease {
    /// A release for which no grant has been sent yet.
    pub fn new(progress: Progress) -> Self {
        Self {
            progress,
            record: RecordState::Known,
            failures: 0,
            has_recorded: false,
            last_sent: None,
        }
    }

    /// The outcome that the record should contain now.
    fn outcome(&self) -> Outcome {
        // Only the stage `Withdrawn` has no outcome. If a withdrawn order is restored, its release is recorded as rolled
        // back, as the target version gets no more requests.
        let outcome = self.progress.stage().outcome();
        outcome.unwrap_or(Outcome::RolledBack)
    }

    /// The outcome to write if the source contains `recorded`; `None` if nothing has to be written.
    pub fn next_record(&self, recorded: Option<Outcome>) -> Option<Outcome> {
        let outcome = self.outcome();
        let is_written = self.has_recorded && recorded == Some(outcome);
        (!is_written).then_some(outcome)
    }

    /// The next grant, if one is due.
    pub fn next_grant(
        &mut self,
        revision: u64,
        fence: u64,
        number: u64,
        now: Timestamp,
    ) -> Option<Grant> {
        let mut grant = self.progress.grant(revision, fence, number, now);
        if grant.stage == Stage::Completed {
            // Before the source contains the record, the operator does not stop the present engines, so the grant
            // only says that all new requests go to the target version.
            grant.stage = Stage::Settling;
        }
        if !self.is_due(&grant, now) {
            return None;
        }
        self.last_sent = Some(SentGrant {
            grant: grant.clone(),
            at: now,
        });
        Some(grant)
    }

    fn is_due(&self, grant: &Grant, now: Timestamp) -> bool {
        let Some(last_sent) = &self.last_sent else {
            return true;
        };
        let before = &last_sent.grant;
        let is_same = before.stage == grant.stage
            && before.share.total_cmp(&grant.share).is_eq()
            && before.window == grant.window;
        let skips_repeat = before.stage.is_final() || now.since(last_sent.at) < GRANT_INTERVAL;
        !(is_same && skips_repeat)
    }
}
