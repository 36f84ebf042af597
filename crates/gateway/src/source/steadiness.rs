//! Since when the source has answered without a break.

use std::time::Duration;

use ryerouter_core::Timestamp;

/// Share of the time in which entries lapse that may lie between two answers of a source that is
/// steady; the rest is for questions that were asked while it stood still and answered right after.
const LONGEST_BREAK: f64 = 0.6;

/// Since when the source has answered this node or others without a break.
///
/// A node whose own calls fail can't tell by them whether the source stands still, when entries of
/// engines lapse that come back, or only its own way to the source is harmed. The answers that others
/// get tell; see docs/design/reading.md. Without them a node that the source answers 1.2 to 3 s late keeps
/// an engine whose entry went for 5.6 to 10.6 s, with them for under 2 s (virtual clock, 2 and 6 nodes,
/// longest of four plays).
#[derive(Debug, Clone, Copy)]
pub struct Steadiness {
    /// Entries lapse only when the source stands still for so long.
    lapse: Duration,
    since: Timestamp,
    /// When the newest question was asked that was answered at once.
    until: Option<Timestamp>,
}

impl Steadiness {
    /// Nothing has been answered yet.
    pub fn new(lapse: Duration) -> Self {
        Self {
            lapse,
            since: Timestamp::default(),
            until: None,
        }
    }

    /// A question that was asked at `asked_at` was answered at once.
    pub fn note(&mut self, asked_at: Timestamp) {
        if self.until >= Some(asked_at) {
            return;
        }
        let longest = self.lapse.mul_f64(LONGEST_BREAK);
        let goes_on = self
            .until
            .is_some_and(|until| asked_at.since(until) < longest);
        if !goes_on {
            self.since = asked_at;
        }
        self.until = Some(asked_at);
    }

    /// When the newest question was asked that was answered at once.
    pub fn until(&self) -> Option<Timestamp> {
        self.until
    }

    /// Whether the source has not stood still in the last `span` for so long that entries lapse.
    pub fn has_lasted(&self, span: Duration, now: Timestamp) -> bool {
        let is_recent = self
            .until
            .is_some_and(|until| now.since(until) < self.lapse);
        is_recent && now.since(self.since) >= span
    }
}
