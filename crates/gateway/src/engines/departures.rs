//! Engines that have left, which a copy of the source may list again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, Incarnation};

use super::EngineEntry;

/// Departures are remembered for this time; copies of the source are no older.
const RETENTION: Duration = Duration::from_secs(60);

/// A process of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Departure {
    incarnation: Option<Incarnation>,
    at: Timestamp,
    /// Whether it had said that it leaves.
    was_draining: bool,
}

/// An engine that had gone and that a copy of the source lists.
#[derive(Debug, Clone)]
struct Barred {
    departure: Departure,
    until: Timestamp,
    /// Its entry, if it has been listed since.
    entry: Option<EngineEntry>,
}

/// Engines that have left, which a copy of the source may list again.
///
/// What a copy lists was true some seconds ago. An engine that had gone since stays out until its entry would have
/// lapsed, or until its own process writes the entry again; one that was leaving goes on leaving.
#[derive(Debug, Default)]
pub struct Departures {
    gone: BTreeMap<BackEndName, Departure>,
    leaving: BTreeMap<BackEndName, Departure>,
    barred: BTreeMap<BackEndName, Barred>,
    /// Engines that were listed again after they had been barred, in this era of the source.
    cleared: BTreeSet<BackEndName>,
}

impl Departures {
    /// Records that an engine's entry has gone.
    pub fn note_gone(&mut self, entry: &EngineEntry, was_draining: bool, now: Timestamp) {
        self.gone.retain(|_, known| now.since(known.at) < RETENTION);
        let departure = Departure {
            incarnation: entry.incarnation,
            at: now,
            was_draining,
        };
        self.gone.insert(entry.name.clone(), departure);
    }

    /// Records that an engine is listed and in use.
    pub fn note_listed(&mut self, name: &BackEndName) {
        self.gone.remove(name);
    }

    /// Records that an engine's own process has written its entry.
    pub fn note_written(&mut self, name: &BackEndName) {
        self.gone.remove(name);
        self.barred.remove(name);
        self.cleared.insert(name.clone());
    }

    /// Records that an engine's entry has gone from the source that listed it again.
    pub fn note_unlisted(&mut self, name: &BackEndName) {
        if let Some(barred) = self.barred.get_mut(name) {
            barred.entry = None;
        }
    }

    /// Forgets the entries of barred engines: a whole list follows, with all that are listed.
    pub fn forget_entries(&mut self) {
        for barred in self.barred.values_mut() {
            barred.entry = None;
        }
    }

    /// Bars all engines that have gone lately: the source has come back from a copy.
    pub fn bar_all(&mut self, until: Timestamp, now: Timestamp) {
        self.cleared.clear();
        let gone = self.gone.iter();
        let lately = gone.filter(|(_, known)| now.since(known.at) < RETENTION);
        for (name, departure) in lately {
            let barred = Barred {
                departure: *departure,
                until,
                entry: None,
            };
            self.barred.insert(name.clone(), barred);
        }
    }

    /// Bars an engine that has gone according to another node. Returns whether that is new.
    pub fn bar(
        &mut self,
        name: &BackEndName,
        incarnation: Option<Incarnation>,
        was_draining: bool,
        until: Timestamp,
        now: Timestamp,
    ) -> bool {
        if self.cleared.contains(name) || self.barred.contains_key(name) {
            return false;
        }
        let departure = Departure {
            incarnation,
            at: now,
            was_draining,
        };
        let barred = Barred {
            departure,
            until,
            entry: None,
        };
        self.barred.insert(name.clone(), barred);
        true
    }

    /// Records that an engine is leaving according to another node.
    pub fn note_leaving(
        &mut self,
        name: &BackEndName,
        incarnation: Option<Incarnation>,
        now: Timestamp,
    ) {
        self.leaving
            .retain(|_, known| now.since(known.at) < RETENTION);
        let departure = Departure {
            incarnation,
            at: now,
            was_draining: true,
        };
        self.leaving.insert(name.clone(), departure);
    }

    /// Whether an engine is leaving, as another node told.
    pub fn is_leaving(&self, entry: &EngineEntry) -> bool {
        let known = self.leaving.get(&entry.name);
        known.is_some_and(|known| known.incarnation == entry.incarnation)
    }

    /// Takes the entry of a barred engine out of use; returns the entries of the others.
    pub fn hold_back(&mut self, entry: EngineEntry) -> Option<EngineEntry> {
        match self.barred.get_mut(&entry.name) {
            Some(barred) if barred.departure.incarnation == entry.incarnation => {
                barred.entry = Some(entry);
                None
            }
            _ => Some(entry),
        }
    }

    /// Takes the entries of engines that are barred no longer and still listed, each with whether the engine was leaving.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<(EngineEntry, bool)> {
        let due = self.barred.extract_if(.., |_, barred| now >= barred.until);
        let due: Vec<_> = due.collect();
        let mut entries = Vec::new();
        for (name, barred) in due {
            if let Some(entry) = barred.entry {
                self.gone.remove(&name);
                entries.push((entry, barred.departure.was_draining));
            }
            self.cleared.insert(name);
        }
        entries
    }

    /// Engines that have gone lately, for other nodes, each with whether it was leaving.
    pub fn gone(&self) -> impl Iterator<Item = (&BackEndName, Option<Incarnation>, bool)> {
        let gone = self.gone.iter();
        gone.map(|(name, departure)| (name, departure.incarnation, departure.was_draining))
    }
}
