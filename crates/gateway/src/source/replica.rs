//! This node's copies of what the source holds.

use std::time::Duration;

use ryerouter_core::Timestamp;

use super::{ItemKind, Revision};
use crate::gateway::Freshness;

/// This node's copy of one kind of item.
#[derive(Debug, Default)]
pub struct Replica {
    /// Revision of the source up to which changes are in the copy.
    pub revision: Option<Revision>,
    /// Nothing changed after this revision until the copy was last proven current.
    pub changed_until: Option<Revision>,
    /// When the copy was last certainly current.
    pub freshness: Freshness,
    /// When the source was last asked for changes or the list.
    pub asked_at: Option<Timestamp>,
    /// When the whole list was last asked for; a list that may be stale proves nothing, but was not
    /// much older.
    pub read_at: Option<Timestamp>,
    /// Whether the source does not hold the changes after `revision` any more, so that the list must
    /// be read again.
    pub is_history_lost: bool,
    /// Since when another node is known to have a newer copy.
    pub behind_since: Option<Timestamp>,
    /// The newest entry can't be read, as a question asked at this time has shown: the copy is an older one.
    unreadable_as_of: Option<Timestamp>,
    /// When this copy last returned to an earlier revision.
    stepped_back_at: Option<Timestamp>,
    /// The newest revision after which, as another node told, nothing has changed.
    told_until: Option<Revision>,
}

impl Replica {
    /// The copy was certainly current at `at`, unless its newest entry can't be read.
    pub fn confirm(&mut self, at: Timestamp) {
        match &mut self.unreadable_as_of {
            Some(as_of) => *as_of = at.max(*as_of),
            None => self.freshness.confirm(at),
        }
    }

    /// The newest entry can't be read.
    pub fn note_unreadable(&mut self, now: Timestamp) {
        self.unreadable_as_of.get_or_insert(now);
    }

    /// The newest entry has been read.
    pub fn note_readable(&mut self) {
        self.unreadable_as_of = None;
    }

    /// Whether the newest entry can't be read.
    pub fn is_unreadable(&self) -> bool {
        self.unreadable_as_of.is_some()
    }

    /// When it was last known what the source holds, whether or not that could be read.
    pub fn known_as_of(&self) -> Option<Timestamp> {
        self.freshness.confirmed_at().max(self.unreadable_as_of)
    }

    /// Whether another node is known to have a newer copy.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Whether that has been so for some time, in which the copy could have caught up by itself.
    pub fn is_behind_for(&self, span: Duration, now: Timestamp) -> bool {
        self.behind_since
            .is_some_and(|since| now.since(since) >= span)
    }

    /// Another node has a newer copy.
    pub fn note_behind(&mut self, now: Timestamp) {
        self.behind_since.get_or_insert(now);
    }

    /// Nothing newer is known elsewhere.
    pub fn note_caught_up(&mut self) {
        self.behind_since = None;
    }

    /// Another node knows that nothing has changed after `revision`; `false` when this copy lacks that
    /// change, also if it is yet to be read.
    pub fn note_reported_change(&mut self, revision: Revision, now: Timestamp) -> bool {
        self.told_until = self.told_until.max(Some(revision));
        self.compare_with_told(now);
        !self.is_behind()
    }

    /// The node that was asked has nothing newer.
    pub fn note_current(&mut self) {
        if self.told_until <= self.revision {
            self.note_caught_up();
        }
    }

    /// The copy has come to `revision`.
    pub fn advance(&mut self, revision: Revision, now: Timestamp) {
        self.revision = Some(revision);
        self.compare_with_told(now);
    }

    /// The copy holds entries that were current at an earlier `revision`, so changes must be followed
    /// from there.
    pub fn step_back(&mut self, revision: Revision, now: Timestamp) {
        self.revision = Some(revision);
        self.freshness = Freshness::default();
        self.stepped_back_at = Some(now);
    }

    /// Whether a request that was sent at `asked_at` asked for changes after a later revision than
    /// this copy's.
    pub fn is_asked_before_step_back(&self, asked_at: Timestamp) -> bool {
        self.stepped_back_at.is_some_and(|at| asked_at <= at)
    }

    fn compare_with_told(&mut self, now: Timestamp) {
        if self.revision.is_none() || self.told_until.is_none() {
            return;
        }
        match self.revision < self.told_until {
            true => self.note_behind(now),
            false => self.note_caught_up(),
        }
    }
}

/// The copies of all kinds.
#[derive(Debug, Default)]
pub struct Replicas {
    configuration: Replica,
    engines: Replica,
    weights: Replica,
}

impl Replicas {
    /// The copy of one kind.
    pub fn of(&self, kind: ItemKind) -> &Replica {
        match kind {
            ItemKind::Configuration => &self.configuration,
            ItemKind::Engines => &self.engines,
            ItemKind::Weights => &self.weights,
        }
    }

    /// The copy of one kind, to change it.
    pub fn of_mut(&mut self, kind: ItemKind) -> &mut Replica {
        match kind {
            ItemKind::Configuration => &mut self.configuration,
            ItemKind::Engines => &mut self.engines,
            ItemKind::Weights => &mut self.weights,
        }
    }
}
