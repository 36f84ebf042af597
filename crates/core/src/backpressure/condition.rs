//! What is known of one engine by its own word.

use std::time::Duration;

use super::{Bar, BarReason, Limit, Place, Report, Signal};
use crate::Timestamp;

/// Longest rest that is kept to: an engine that asks for more most likely does not mean it.
const LONGEST_REST: Duration = Duration::from_secs(3_600);
/// Others are told of a limit again when it has changed by this share.
const TOLD_CHANGE: f64 = 0.2;

/// What an answer has changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Change {
    /// The engine was not known to leave.
    pub is_leaving: bool,
    /// It names a limit, or one that differs much from that of before.
    pub is_limited: bool,
    /// It names no limit any more.
    pub is_limit_over: bool,
}

impl Change {
    /// Whether other nodes need to know.
    pub fn is_news(self) -> bool {
        self != Self::default()
    }
}

/// What is known of one engine by its own word, as long as it lives.
#[derive(Debug, Clone, Default)]
pub struct Condition {
    is_leaving: bool,
    rest_until: Option<Timestamp>,
    limit: Option<Limit>,
    /// When a limit was last seen to be named or to be over, by whichever node.
    limit_at: Option<Timestamp>,
    /// What this node has seen itself: only that is told, so that no news go round for ever.
    seen: Report,
}

impl Condition {
    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        !self.is_leaving && self.rest_until.is_none() && self.limit_at.is_none()
    }

    /// Whether the engine has said that it leaves. It does not come back in this life.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Its limit.
    pub fn limit(&self) -> Option<&Limit> {
        self.limit.as_ref()
    }

    /// Takes what an answer to a request says that was sent at `sent_at`.
    pub fn hear(&mut self, signal: &Signal, sent_at: Timestamp, now: Timestamp) -> Change {
        if let Some(rest) = signal.rest {
            let until = now.after(rest.min(LONGEST_REST));
            self.rest_until = self.rest_until.max(Some(until));
        }
        let is_leaving = signal.is_leaving && !self.seen.is_leaving;
        self.is_leaving |= signal.is_leaving;
        self.seen.is_leaving |= signal.is_leaving;
        let change = match signal.rate_limit {
            Some(per_second) => self.hear_limit(per_second, now),
            None => self.hear_no_limit(sent_at, now),
        };
        Change {
            is_leaving,
            ..change
        }
    }

    fn hear_limit(&mut self, per_second: f64, now: Timestamp) -> Change {
        let known = self.limit.as_ref().map(Limit::per_second);
        self.name_limit(per_second, now);
        self.seen.limit = Some(per_second);
        self.seen.limit_at = Some(now);
        let differs = |known: f64| (known - per_second).abs() > known * TOLD_CHANGE;
        Change {
            is_limited: known.is_none_or(differs),
            ..Change::default()
        }
    }

    fn hear_no_limit(&mut self, sent_at: Timestamp, now: Timestamp) -> Change {
        let limit = self.limit.as_mut();
        if !limit.is_some_and(|limit| limit.leave_unnamed(sent_at, now)) {
            return Change::default();
        }
        self.end_limit(now);
        self.seen.limit = None;
        self.seen.limit_at = Some(now);
        Change {
            is_limit_over: true,
            ..Change::default()
        }
    }

    fn name_limit(&mut self, per_second: f64, at: Timestamp) {
        let limit = self.limit.get_or_insert_with(|| Limit::new(per_second, at));
        limit.name(per_second, at);
        self.limit_at = self.limit_at.max(Some(at));
    }

    fn end_limit(&mut self, at: Timestamp) {
        self.limit = None;
        self.limit_at = self.limit_at.max(Some(at));
    }

    /// What this node has seen itself; `None` when that is nothing.
    pub fn report(&self) -> Option<Report> {
        let has_seen = self.seen.is_leaving || self.seen.limit_at.is_some();
        has_seen.then_some(self.seen)
    }

    /// Takes what another node has seen, as far as that is newer; tells whether that changes anything.
    pub fn merge(&mut self, told: &Report) -> bool {
        let knew = (self.is_leaving, self.limit.is_some());
        self.is_leaving |= told.is_leaving;
        if let Some(at) = told.limit_at.filter(|at| self.limit_at < Some(*at)) {
            match told.limit {
                Some(per_second) => self.name_limit(per_second, at),
                None => self.end_limit(at),
            }
        }
        knew != (self.is_leaving, self.limit.is_some())
    }

    /// Takes the place of this node among those that may send to the engine, and forgets a limit that must be over.
    pub fn refresh(&mut self, place: &Place, now: Timestamp) {
        let limit = self.limit.as_mut();
        if let Some(limit) = limit.filter(|limit| !limit.is_outdated(place.nodes, now)) {
            limit.set_place(place, now);
        } else {
            self.limit = None;
        }
    }

    /// Why the engine gets nothing now.
    pub fn bar(&self, now: Timestamp) -> Option<Bar> {
        if self.is_leaving {
            return Some(Bar {
                reason: BarReason::Leaving,
                until: None,
            });
        }
        let resting = self
            .rest_until
            .filter(|until| now < *until)
            .map(|until| Bar {
                reason: BarReason::Resting,
                until: Some(until),
            });
        resting.or_else(|| {
            let next_at = self.limit.as_ref()?.next_at(now);
            let is_open = next_at.is_some_and(|at| at <= now);
            (!is_open).then_some(Bar {
                reason: BarReason::Limited,
                until: next_at,
            })
        })
    }

    /// A request is sent to the engine.
    pub fn note_sent(&mut self, now: Timestamp) {
        if let Some(limit) = &mut self.limit {
            limit.take(now);
        }
    }
}
