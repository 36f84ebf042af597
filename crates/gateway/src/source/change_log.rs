//! Recent changes of the list of engines.

use std::collections::VecDeque;
use std::time::Duration;

use ryerouter_core::Timestamp;

use super::{ItemChange, Revision};

/// Changes that are kept at least; a node that lacks older ones is handed the whole list.
const LEAST_KEPT: usize = 256;
/// Changes are kept for so long, however many: nodes ask about twice a second, and again when an answer was lost. Of a fleet
/// that starts a thousand engines are listed a second.
const KEPT_FOR: Duration = Duration::from_secs(3);

/// Recent changes of the list of engines, so that another node of the zone can catch up without a
/// call to the source; see docs/design/reading.md.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Every change after this revision is in the log.
    complete_after: Option<Revision>,
    /// Changes, each with the revision of the batch that it came in.
    changes: VecDeque<(Revision, ItemChange)>,
    /// When each batch came, by its revision.
    came_at: VecDeque<(Revision, Timestamp)>,
}

/// What a node that is behind has to take in.
#[derive(Debug, Clone)]
pub struct CatchUp {
    /// Changes in order.
    pub changes: Vec<ItemChange>,
    /// The revision that the node has with them.
    pub revision: Revision,
}

impl ChangeLog {
    /// A list was read at `revision`: what changed before is unknown.
    pub fn restart(&mut self, revision: Revision) {
        self.complete_after = Some(revision);
        self.changes.clear();
        self.came_at.clear();
    }

    /// Changes up to `revision`, which follow those in the log.
    pub fn append(
        &mut self,
        changes: impl IntoIterator<Item = ItemChange>,
        revision: Revision,
        now: Timestamp,
    ) {
        if self.complete_after.is_none() {
            return;
        }
        let before = self.changes.len();
        for change in changes {
            self.changes.push_back((revision, change));
        }
        if self.changes.len() > before {
            self.came_at.push_back((revision, now));
        }
        while self.changes.len() > LEAST_KEPT && self.is_oldest_batch_old(now) {
            self.forget_oldest_batch();
        }
    }

    fn is_oldest_batch_old(&self, now: Timestamp) -> bool {
        let oldest = self.came_at.front();
        oldest.is_none_or(|(_, came_at)| now.since(*came_at) > KEPT_FOR)
    }

    fn forget_oldest_batch(&mut self) {
        let Some((oldest, _)) = self.changes.front() else {
            return;
        };
        let oldest = *oldest;
        while self.changes.front().is_some_and(|(at, _)| *at == oldest) {
            self.changes.pop_front();
        }
        while self.came_at.front().is_some_and(|(at, _)| *at <= oldest) {
            self.came_at.pop_front();
        }
        self.complete_after = Some(oldest);
    }

    /// About `most` changes after `revision`, whole batches of them; `None` when the log does not
    /// reach back that far, or the next batch alone is too long for one message.
    pub fn after(&self, revision: Revision, newest: Revision, most: usize) -> Option<CatchUp> {
        if self.complete_after.is_none_or(|begin| revision < begin) {
            return None;
        }
        let mut caught_up = CatchUp {
            changes: Vec::new(),
            revision,
        };
        let later = self.changes.iter().filter(|(at, _)| *at > revision);
        let later: Vec<_> = later.collect();
        for batch in later.chunk_by(|left, right| left.0 == right.0) {
            if caught_up.changes.len() + batch.len() > most {
                return (!caught_up.changes.is_empty()).then_some(caught_up);
            }
            let changes = batch.iter().map(|(_, change)| change.clone());
            caught_up.changes.extend(changes);
            caught_up.revision = batch[0].0;
        }
        caught_up.revision = newest.max(caught_up.revision);
        Some(caught_up)
    }
}
