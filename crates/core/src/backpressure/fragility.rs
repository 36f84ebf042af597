//! How many refusals an engine withstands.

use std::time::Duration;

use crate::Timestamp;

/// Responses must omit the notice for this time before it has ended.
const GRACE_PERIOD: Duration = Duration::from_millis(500);
/// A notice expires after this time if no node has seen it again. The nodes that should have reported its end may be
/// gone.
const RETENTION: Duration = Duration::from_secs(60);

/// Notice of an engine that it fails when it has to refuse too many requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fragility {
    /// Refusals in a second that the engine withstands.
    pub max_refusals: u32,
    /// When the notice was first seen by any node, as far as known.
    pub since: Timestamp,
    /// When it was last seen by any node, as far as known.
    pub seen_at: Timestamp,
    /// Since when the responses to this node omit it.
    omitted_since: Option<Timestamp>,
}

impl Fragility {
    /// A notice that was seen at `at`.
    pub(super) fn new(max_refusals: u32, at: Timestamp) -> Self {
        Self {
            max_refusals,
            since: at,
            seen_at: at,
            omitted_since: None,
        }
    }

    /// Applies a notice that a response gave to this node or another, and that was first seen at `since`.
    pub(super) fn note_seen(&mut self, max_refusals: u32, since: Timestamp, at: Timestamp) {
        self.max_refusals = max_refusals;
        self.since = self.since.min(since);
        self.seen_at = self.seen_at.max(at);
        self.omitted_since = None;
    }

    /// Records that the response to a request sent at `sent_at` omits the notice. Returns whether it has ended.
    pub(super) fn note_omitted(&mut self, sent_at: Timestamp, now: Timestamp) -> bool {
        if sent_at <= self.seen_at {
            return false;
        }
        let since = *self.omitted_since.get_or_insert(now);
        now.since(since) >= GRACE_PERIOD
    }

    /// Whether no node has seen the notice for so long that it must have ended.
    pub(super) fn is_expired(&self, now: Timestamp) -> bool {
        now.since(self.seen_at) >= RETENTION
    }
}
