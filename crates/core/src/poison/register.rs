//! The requests under which engines ended.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Crash, Digest, History};
use crate::Timestamp;

/// Most requests that are remembered: some 400 bytes each. Each needs an engine that has ended, so a caller can't
/// bring many about.
const MOST_KNOWN: usize = 1_024;
/// A request that nobody has sent or told of for so long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(2 * 86_400);
/// The same for one that is not held back.
const FORGET_SUSPECT_AFTER: Duration = Duration::from_secs(3_600);

#[derive(Debug, Default)]
struct Known {
    history: History,
    /// When it was last sent, or told of.
    seen_at: Timestamp,
}

impl Known {
    fn is_due(&self, now: Timestamp) -> bool {
        let limit = match self.history.is_convicted() {
            true => FORGET_AFTER,
            false => FORGET_SUSPECT_AFTER,
        };
        now.since(self.seen_at) > limit
    }
}

/// The requests under which engines ended, as far as one node knows.
#[derive(Debug, Default)]
pub struct Register {
    known: BTreeMap<Digest, Known>,
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
        let known = self.known.get(&digest)?;
        Some(&known.history)
    }

    /// The same, to change it: it was sent again.
    pub fn get_mut(&mut self, digest: Digest, now: Timestamp) -> Option<&mut History> {
        let known = self.known.get_mut(&digest)?;
        known.seen_at = now;
        Some(&mut known.history)
    }

    /// An engine ended under a run; `false` when this tells nothing new.
    pub fn note_crash(&mut self, digest: Digest, crash: Crash, now: Timestamp) -> bool {
        self.at(digest, now).note_crash(crash)
    }

    /// A run came to a good end; `false` when this tells nothing new.
    pub fn clear(&mut self, digest: Digest, now: Timestamp) -> bool {
        let history = self.get_mut(digest, now);
        history.is_some_and(|history| history.clear(now))
    }

    /// Takes in what another node knows; `false` when that is nothing new.
    pub fn merge(&mut self, digest: Digest, told: &History, now: Timestamp) -> bool {
        let is_known = self.known.contains_key(&digest);
        if !is_known && told.crashes.is_empty() {
            return false;
        }
        self.at(digest, now).merge(told)
    }

    /// The requests that are held back.
    pub fn convicted(&self) -> impl Iterator<Item = Digest> {
        let known = self.known.iter();
        let convicted = known.filter(|(_, known)| known.history.is_convicted());
        convicted.map(|(digest, _)| *digest)
    }

    fn at(&mut self, digest: Digest, now: Timestamp) -> &mut History {
        if !self.known.contains_key(&digest) {
            self.make_room(now);
        }
        let known = self.known.entry(digest).or_default();
        known.seen_at = now;
        &mut known.history
    }

    /// Forgets what nobody asked for lately; when that is not enough, first what is not held back.
    fn make_room(&mut self, now: Timestamp) {
        self.known.retain(|_, known| !known.is_due(now));
        while self.known.len() >= MOST_KNOWN {
            let rank = |known: &Known| (known.history.is_convicted(), known.seen_at);
            let least = self.known.iter().min_by_key(|(_, known)| rank(known));
            let Some(digest) = least.map(|(digest, _)| *digest) else {
                return;
            };
            self.known.remove(&digest);
        }
    }
}
