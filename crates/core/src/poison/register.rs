//! Crash histories of requests.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Crash, Digest, History, Verdict};
use crate::Timestamp;

/// Maximum number of histories kept, at about 400 bytes each. Each requires an engine that has crashed, so a caller
/// cannot create many of them.
const MAX_HISTORIES: usize = 1_024;

/// Minimum time between trials of two requests that were running at the same crashes. Only one of them is then running
/// when an engine crashes, and all nodes know of the crash before the next trial.
const TRIAL_SEPARATION: Duration = Duration::from_secs(2);

/// Histories of the requests during which engines crashed, as known to this node.
#[derive(Debug, Default)]
pub struct Register {
    histories: BTreeMap<Digest, History>,
}

impl Register {
    /// Whether there are no histories, which is the normal case.
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    /// Number of histories.
    pub fn count(&self) -> usize {
        self.histories.len()
    }

    /// History of a request.
    pub fn get(&self, digest: Digest) -> Option<&History> {
        self.histories.get(&digest)
    }

    /// Whether a request is blocked.
    pub fn is_blocked(&self, digest: Digest) -> bool {
        self.get(digest).is_some_and(History::is_blocked)
    }

    /// Mutable history of a request.
    pub fn get_mut(&mut self, digest: Digest) -> Option<&mut History> {
        self.histories.get_mut(&digest)
    }

    /// Whether a request may be sent to an engine.
    pub fn verdict(&self, digest: Digest, now: Timestamp) -> Verdict {
        let Some(history) = self.get(digest) else {
            return Verdict::Allowed;
        };
        if !history.is_blocked() {
            return Verdict::Allowed;
        }
        let others = self.histories.iter().filter(|(other, _)| **other != digest);
        let others = others.map(|(_, other)| other);
        let related: Vec<_> = others
            .filter(|other| history.shares_crashes(other))
            .collect();
        let is_ambiguous = history.has_doubtful_crash() || !related.is_empty();
        let verdict = history.verdict(is_ambiguous, now);
        let last_trial_at = related.iter().filter_map(|other| other.last_trial_at).max();
        let remaining = last_trial_at.map(|at| at.after(TRIAL_SEPARATION).since(now));
        match remaining.filter(|remaining| !remaining.is_zero()) {
            Some(retry_after) if verdict == Verdict::Trial => Verdict::Refused { retry_after },
            _ => verdict,
        }
    }

    /// Whether a request may be sent to an engine, whose digest and those of its parts are given.
    ///
    /// What ran beside the cause of crashes has a part of its crashes. It is not blocked for those.
    pub fn verdict_of_all(&self, digests: &[Digest], now: Timestamp) -> Verdict {
        let blamed = digests
            .iter()
            .filter(|digest| self.is_blamed(**digest, digests));
        let verdicts = blamed.map(|digest| self.verdict(*digest, now));
        verdicts.fold(Verdict::Allowed, Verdict::stricter)
    }

    /// Whether a digest is blocked for crashes of which no other one is the more likely cause. `own` are all digests of the
    /// request.
    pub fn is_blamed(&self, digest: Digest, own: &[Digest]) -> bool {
        let Some(history) = self.get(digest).filter(|history| history.is_blocked()) else {
            return false;
        };
        let others = self.histories.iter();
        let others = others.filter(|(other, _)| !own.contains(other));
        let causes = others
            .map(|(_, other)| other)
            .filter(|other| other.is_blocked() && other.crash_count() > history.crash_count());
        let causes: Vec<_> = causes.collect();
        history.is_blocked_without(|crash| causes.iter().any(|cause| cause.holds(crash)))
    }

    /// Adds a crash; returns `false` when the history does not change.
    pub fn record_crash(&mut self, digest: Digest, crash: Crash, now: Timestamp) -> bool {
        self.get_or_insert(digest, now).record_crash(crash)
    }

    /// Records a successful run; returns `false` when this removes no crash.
    pub fn record_success(&mut self, digest: Digest, now: Timestamp) -> bool {
        let history = self.get_mut(digest);
        history.is_some_and(|history| history.record_success(now))
    }

    /// Merges the history of another node; returns `false` when crashes and trials stay the same.
    pub fn merge(&mut self, digest: Digest, remote: &History, now: Timestamp) -> bool {
        let is_known = self.histories.contains_key(&digest);
        if remote.is_expired(now) || (!is_known && remote.crashes.is_empty()) {
            return false;
        }
        self.get_or_insert(digest, now).merge(remote)
    }

    /// Requests that have a history.
    pub fn digests(&self) -> impl Iterator<Item = Digest> {
        self.histories.keys().copied()
    }

    /// Requests that are blocked.
    pub fn blocked(&self) -> impl Iterator<Item = Digest> {
        let histories = self.histories.iter();
        let blocked = histories.filter(|(_, history)| history.is_blocked());
        blocked.map(|(digest, _)| *digest)
    }

    /// Drops expired histories; returns their requests.
    pub fn forget(&mut self, now: Timestamp) -> Vec<Digest> {
        let expired = self
            .histories
            .extract_if(.., |_, history| history.is_expired(now));
        expired.map(|(digest, _)| digest).collect()
    }

    fn get_or_insert(&mut self, digest: Digest, now: Timestamp) -> &mut History {
        if !self.histories.contains_key(&digest) {
            self.make_room(now);
        }
        self.histories.entry(digest).or_default()
    }

    /// Drops expired histories. While the register is still full, drops the history with the oldest last event, those
    /// of requests that are not blocked first.
    fn make_room(&mut self, now: Timestamp) {
        self.forget(now);
        while self.histories.len() >= MAX_HISTORIES {
            let rank = |history: &History| (history.is_blocked(), history.last_event());
            let evicted = self
                .histories
                .iter()
                .min_by_key(|(_, history)| rank(history));
            let Some(digest) = evicted.map(|(digest, _)| *digest) else {
                return;
            };
            self.histories.remove(&digest);
        }
    }
}
