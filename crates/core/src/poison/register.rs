//! The requests under which engines ended.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Crash, Digest, History, Verdict};
use crate::Timestamp;

/// Most requests that are remembered: some 400 bytes each. Each needs an engine that has ended, so a caller can't
/// bring many about.
const MOST_KNOWN: usize = 1_024;

/// Two requests that ran at the same ends are tried so far apart that only one of them is at the engine which ends, and the
/// end is known to all nodes before the next trial.
const TRIAL_TIME: Duration = Duration::from_secs(2);

/// The requests under which engines ended, as far as one node knows.
#[derive(Debug, Default)]
pub struct Register {
    known: BTreeMap<Digest, History>,
}

impl Register {
    /// Whether there are none, as on most days.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// What is known of a request.
    pub fn get(&self, digest: Digest) -> Option<&History> {
        self.known.get(&digest)
    }

    /// Whether a request is held back.
    pub fn is_convicted(&self, digest: Digest) -> bool {
        self.get(digest).is_some_and(History::is_convicted)
    }

    /// What is known of a request, to change it.
    pub fn get_mut(&mut self, digest: Digest) -> Option<&mut History> {
        self.known.get_mut(&digest)
    }

    /// Whether a request may be sent to an engine.
    pub fn verdict(&self, digest: Digest, now: Timestamp) -> Verdict {
        let Some(history) = self.get(digest) else {
            return Verdict::Runs;
        };
        if !history.is_convicted() {
            return Verdict::Runs;
        }
        let others = self.known.iter().filter(|(other, _)| **other != digest);
        let others = others.map(|(_, other)| other);
        let beside: Vec<_> = others.filter(|other| history.shares_ends(other)).collect();
        let is_in_doubt = history.has_doubtful_end() || !beside.is_empty();
        let verdict = history.verdict(is_in_doubt, now);
        let tried_at = beside.iter().filter_map(|other| other.tried_at).max();
        let left = tried_at.map(|at| at.after(TRIAL_TIME).since(now));
        match left.filter(|left| !left.is_zero()) {
            Some(come_back_after) if verdict == Verdict::Trial => {
                Verdict::Refused { come_back_after }
            }
            _ => verdict,
        }
    }

    /// An engine ended under a run; `false` when this tells nothing new.
    pub fn note_crash(&mut self, digest: Digest, crash: Crash, now: Timestamp) -> bool {
        self.at(digest, now).note_crash(crash)
    }

    /// A run came to a good end; `false` when this tells nothing new.
    pub fn clear(&mut self, digest: Digest, now: Timestamp) -> bool {
        let history = self.get_mut(digest);
        history.is_some_and(|history| history.clear(now))
    }

    /// Takes in what another node knows; `false` when that is nothing new.
    pub fn merge(&mut self, digest: Digest, told: &History, now: Timestamp) -> bool {
        let is_known = self.known.contains_key(&digest);
        if told.is_over(now) || (!is_known && told.crashes.is_empty()) {
            return false;
        }
        self.at(digest, now).merge(told)
    }

    /// The requests under which engines ended.
    pub fn digests(&self) -> impl Iterator<Item = Digest> {
        self.known.keys().copied()
    }

    /// The requests that are held back.
    pub fn convicted(&self) -> impl Iterator<Item = Digest> {
        let known = self.known.iter();
        let convicted = known.filter(|(_, history)| history.is_convicted());
        convicted.map(|(digest, _)| *digest)
    }

    /// Forgets what is long over; tells what it was.
    pub fn forget(&mut self, now: Timestamp) -> Vec<Digest> {
        let over = self.known.extract_if(.., |_, history| history.is_over(now));
        over.map(|(digest, _)| digest).collect()
    }

    fn at(&mut self, digest: Digest, now: Timestamp) -> &mut History {
        if !self.known.contains_key(&digest) {
            self.make_room(now);
        }
        self.known.entry(digest).or_default()
    }

    /// Forgets what is long over; when that is not enough, first what is not held back.
    fn make_room(&mut self, now: Timestamp) {
        self.forget(now);
        while self.known.len() >= MOST_KNOWN {
            let rank = |history: &History| (history.is_convicted(), history.last_event());
            let least = self.known.iter().min_by_key(|(_, history)| rank(history));
            let Some(digest) = least.map(|(digest, _)| *digest) else {
                return;
            };
            self.known.remove(&digest);
        }
    }
}
