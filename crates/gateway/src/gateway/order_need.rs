//! Since when orders are needed, and when somebody last gave any.

use std::cell::Cell;
use std::time::Duration;

use ryerouter_core::Timestamp;

/// A need that was not confirmed for this long counts from its next confirmation: this process was
/// paused and has yet to hear what other nodes did.
const MAX_CONFIRMATION_GAP: Duration = Duration::from_secs(1);

/// Since when orders are needed, and when somebody last gave any.
#[derive(Debug, Default)]
pub struct OrderNeed {
    /// When the need began and when it was last confirmed; `None` while there is none.
    span: Option<(Timestamp, Timestamp)>,
    /// When an engine was last reported to load weights.
    effect_at: Option<Timestamp>,
    /// When the last turn of this node that was logged began.
    logged_turn: Cell<Option<Timestamp>>,
}

impl OrderNeed {
    /// Records whether orders are needed.
    pub fn note(&mut self, is_needed: bool, now: Timestamp) {
        let known = self.span.filter(|_| is_needed);
        let known = known.filter(|(_, last)| now.since(*last) <= MAX_CONFIRMATION_GAP);
        let since = known.map_or(now, |(since, _)| since);
        self.span = is_needed.then_some((since, now));
    }

    /// Records that an engine loads weights.
    pub fn note_effect(&mut self, now: Timestamp) {
        self.effect_at = Some(now);
    }

    /// Since when orders are needed and have had no effect.
    pub fn unmet_since(&self) -> Option<Timestamp> {
        let (since, _) = self.span?;
        Some(since).max(self.effect_at)
    }

    /// Records that the turn of this node that began at `begun_at` is logged; `false` if it was
    /// before.
    pub(super) fn note_logged(&self, begun_at: Timestamp) -> bool {
        self.logged_turn.replace(Some(begun_at)) != Some(begun_at)
    }
}
