//! One release under direction.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::release::{Grant, Outcome, Progress, Stage};

use super::RecordState;

/// Least time between two equal grants. With the director's tick they come every third of a second, which is
/// short against the life of a grant: nodes that miss two in a row still hear the next in time.
const GRANT_INTERVAL: Duration = Duration::from_millis(250);

/// One release under direction: its stages, what nodes were told last, and how its record stands.
#[derive(Debug, Clone)]
pub struct DirectedRelease {
    /// The stages.
    pub progress: Progress,
    /// How its record stands.
    pub record: RecordState,
    /// Calls for the record that failed in a row.
    pub failures: u32,
    /// Whether this director has recorded anything. A record of the director before may still be carried out
    /// late, until the order has another revision: this one's first record sees to that.
    pub has_recorded: bool,
    last_sent: Option<SentGrant>,
}

#[derive(Debug, Clone)]
struct SentGrant {
    grant: Grant,
    at: Timestamp,
}

impl DirectedRelease {
    /// A release of which nothing was told yet.
    pub fn new(progress: Progress) -> Self {
        Self {
            progress,
            record: RecordState::Known,
            failures: 0,
            has_recorded: false,
            last_sent: None,
        }
    }

    /// What the record should be now.
    fn outcome(&self) -> Outcome {
        // An order that stands again after it was taken back: its target version gets nothing for good.
        let outcome = self.progress.stage().outcome();
        outcome.unwrap_or(Outcome::RolledBack)
    }

    /// What is to be written when the source holds `recorded`; `None` when nothing is.
    pub fn next_record(&self, recorded: Option<Outcome>) -> Option<Outcome> {
        let outcome = self.outcome();
        let is_written = self.has_recorded && recorded == Some(outcome);
        (!is_written).then_some(outcome)
    }

    /// The next grant, when it is time for one.
    pub fn next_grant(
        &mut self,
        revision: u64,
        fence: u64,
        number: u64,
        now: Timestamp,
    ) -> Option<Grant> {
        let mut grant = self.progress.grant(revision, fence, number, now);
        if grant.stage == Stage::Completed {
            // The present engines stop once the source holds the record. Until then nodes only know that
            // all new requests move.
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
        let is_kept = before.stage.is_final() || now.since(last_sent.at) < GRANT_INTERVAL;
        !(is_same && is_kept)
    }
}
