//! Backpressure state of one engine.

use std::time::Duration;

use super::{Exclusion, ExclusionReason, Fragility, Limit, Position, Report, Signal};
use crate::Timestamp;

/// Maximum time for which a backoff is obeyed. A longer one is most likely an error of the engine.
const MAX_BACKOFF: Duration = Duration::from_secs(3_600);
/// A limit is reported to other nodes again when it has changed by more than this share.
const REPORT_THRESHOLD: f64 = 0.2;

/// What a response changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Change {
    /// The engine is leaving, which was not known before.
    pub is_leaving: bool,
    /// The engine advertises its first limit, or one that differs from the last by more than the report threshold.
    pub limit_changed: bool,
    /// The engine no longer advertises a limit.
    pub limit_ended: bool,
    /// The engine says for the first time how many refusals it withstands, or another number than before.
    pub fragility_changed: bool,
    /// The engine no longer says how many refusals it withstands.
    pub fragility_ended: bool,
}

impl Change {
    /// Whether the change must be reported to other nodes.
    pub fn needs_report(self) -> bool {
        self != Self::default()
    }
}

/// Backpressure that one incarnation of an engine has signalled.
#[derive(Debug, Clone, Default)]
pub struct Condition {
    is_leaving: bool,
    backoff_until: Option<Timestamp>,
    limit: Option<Limit>,
    /// When any node last saw the limit advertised or ended.
    limit_at: Option<Timestamp>,
    fragility: Option<Fragility>,
    /// When any node last saw that notice or its end.
    fragility_at: Option<Timestamp>,
    /// What this node has observed itself. Only this is reported, so that reports do not circulate between nodes
    /// forever.
    observed: Report,
}

impl Condition {
    /// Whether the engine has signalled nothing.
    pub fn is_empty(&self) -> bool {
        !self.is_leaving
            && self.backoff_until.is_none()
            && self.limit_at.is_none()
            && self.fragility_at.is_none()
    }

    /// Whether the engine has signalled that it is leaving. This holds for the rest of the incarnation.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// The rate limit that the engine advertises.
    pub fn limit(&self) -> Option<&Limit> {
        self.limit.as_ref()
    }

    /// How many refusals the engine withstands, if it says so.
    pub fn fragility(&self) -> Option<&Fragility> {
        self.fragility.as_ref()
    }

    /// Applies the signal in the response to a request that was sent at `sent_at`.
    pub fn apply_signal(&mut self, signal: &Signal, sent_at: Timestamp, now: Timestamp) -> Change {
        if let Some(backoff) = signal.backoff {
            let until = now.after(backoff.min(MAX_BACKOFF));
            self.backoff_until = self.backoff_until.max(Some(until));
        }
        let is_leaving = signal.is_leaving && !self.observed.is_leaving;
        self.is_leaving |= signal.is_leaving;
        self.observed.is_leaving |= signal.is_leaving;
        let change = match signal.rate_limit {
            Some(per_second) => self.apply_limit(per_second, now),
            None => self.apply_missing_limit(sent_at, now),
        };
        let known = self.fragility.map(|fragility| fragility.max_refusals);
        let fragility_ended = match signal.max_refusals {
            Some(max_refusals) => {
                self.set_fragility(max_refusals, now, now);
                self.observed.max_refusals = Some(max_refusals);
                self.observed.max_refusals_at = Some(now);
                false
            }
            None => self.apply_missing_fragility(sent_at, now),
        };
        Change {
            is_leaving,
            fragility_changed: signal.max_refusals.is_some() && signal.max_refusals != known,
            fragility_ended,
            ..change
        }
    }

    fn set_fragility(&mut self, max_refusals: u32, since: Timestamp, at: Timestamp) {
        let fragility = self
            .fragility
            .get_or_insert_with(|| Fragility::new(max_refusals, at));
        fragility.note_seen(max_refusals, since, at);
        self.fragility_at = self.fragility_at.max(Some(at));
    }

    /// Returns whether the notice has ended.
    fn apply_missing_fragility(&mut self, sent_at: Timestamp, now: Timestamp) -> bool {
        let fragility = self.fragility.as_mut();
        if !fragility.is_some_and(|fragility| fragility.note_omitted(sent_at, now)) {
            return false;
        }
        self.clear_fragility(now);
        self.observed.max_refusals = None;
        self.observed.max_refusals_at = Some(now);
        true
    }

    fn clear_fragility(&mut self, at: Timestamp) {
        self.fragility = None;
        self.fragility_at = self.fragility_at.max(Some(at));
    }

    fn apply_limit(&mut self, per_second: f64, now: Timestamp) -> Change {
        let known = self.limit.as_ref().map(Limit::per_second);
        self.set_limit(per_second, now);
        self.observed.limit = Some(per_second);
        self.observed.limit_at = Some(now);
        let differs = |known: f64| (known - per_second).abs() > known * REPORT_THRESHOLD;
        Change {
            limit_changed: known.is_none_or(differs),
            ..Change::default()
        }
    }

    fn apply_missing_limit(&mut self, sent_at: Timestamp, now: Timestamp) -> Change {
        let limit = self.limit.as_mut();
        if !limit.is_some_and(|limit| limit.record_omission(sent_at, now)) {
            return Change::default();
        }
        self.clear_limit(now);
        self.observed.limit = None;
        self.observed.limit_at = Some(now);
        Change {
            limit_ended: true,
            ..Change::default()
        }
    }

    fn set_limit(&mut self, per_second: f64, at: Timestamp) {
        let limit = self.limit.get_or_insert_with(|| Limit::new(per_second, at));
        limit.advertise(per_second, at);
        self.limit_at = self.limit_at.max(Some(at));
    }

    fn clear_limit(&mut self, at: Timestamp) {
        self.limit = None;
        self.limit_at = self.limit_at.max(Some(at));
    }

    /// What this node has observed itself; `None` when it has observed nothing.
    pub fn report(&self) -> Option<Report> {
        let has_observed = self.observed.is_leaving
            || self.observed.limit_at.is_some()
            || self.observed.max_refusals_at.is_some();
        has_observed.then_some(Report {
            fragile_since: self.fragility.map(|fragility| fragility.since),
            ..self.observed
        })
    }

    /// Merges the report of another node where it is newer; returns whether this changes whether the engine is leaving,
    /// limited or fragile.
    pub fn merge(&mut self, remote: &Report) -> bool {
        let state = |condition: &Self| {
            let is_fragile = condition.fragility.is_some();
            (condition.is_leaving, condition.limit.is_some(), is_fragile)
        };
        let before = state(self);
        self.is_leaving |= remote.is_leaving;
        if let Some(at) = remote.limit_at.filter(|at| self.limit_at < Some(*at)) {
            match remote.limit {
                Some(per_second) => self.set_limit(per_second, at),
                None => self.clear_limit(at),
            }
        }
        let newer = remote.max_refusals_at;
        if let Some(at) = newer.filter(|at| self.fragility_at < Some(*at)) {
            match remote.max_refusals {
                Some(max_refusals) => {
                    let since = remote.fragile_since.unwrap_or(at);
                    self.set_fragility(max_refusals, since, at);
                }
                None => self.clear_fragility(at),
            }
        }
        before != state(self)
    }

    /// Drops a notice of fragility that no node has seen for long.
    pub fn expire_fragility(&mut self, now: Timestamp) {
        self.fragility
            .take_if(|fragility| fragility.is_expired(now));
    }

    /// Updates this node's position among the senders to the engine, and drops an expired limit.
    pub fn refresh(&mut self, position: &Position, now: Timestamp) {
        let limit = self.limit.as_mut();
        if let Some(limit) = limit.filter(|limit| !limit.is_expired(position.nodes, now)) {
            limit.set_position(position, now);
        } else {
            self.limit = None;
        }
    }

    /// Why the engine must not be sent a request now; `None` when it may be.
    pub fn exclusion(&self, now: Timestamp) -> Option<Exclusion> {
        if self.is_leaving {
            return Some(Exclusion {
                reason: ExclusionReason::Leaving,
                until: None,
            });
        }
        let backing_off = self
            .backoff_until
            .filter(|until| now < *until)
            .map(|until| Exclusion {
                reason: ExclusionReason::BackingOff,
                until: Some(until),
            });
        backing_off.or_else(|| {
            let next_at = self.limit.as_ref()?.next_at(now);
            let is_open = next_at.is_some_and(|at| at <= now);
            (!is_open).then_some(Exclusion {
                reason: ExclusionReason::Limited,
                until: next_at,
            })
        })
    }

    /// Records that a request was sent to the engine.
    pub fn record_sent(&mut self, now: Timestamp) {
        if let Some(limit) = &mut self.limit {
            limit.take(now);
        }
    }
}
