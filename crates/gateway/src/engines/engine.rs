//! One engine as this process knows it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::backpressure::Condition;
use ryerouter_core::retry::EngineHealth;
use xxhash_rust::xxh3::xxh3_64;

use super::{EngineEntry, EngineLoad, EngineState};

/// An engine that had no room is avoided for so long at first.
const FULL_BACKOFF: Duration = Duration::from_millis(150);
/// This time doubles with each refusal in a row, so often at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Weights that an engine loads.
#[derive(Debug)]
struct Loading {
    model: String,
    version: u64,
    /// Without further news it is believed to be done by then.
    until: Timestamp,
}

/// One engine or plain back end as this process knows it.
#[derive(Debug)]
pub struct Engine {
    /// What the list tells.
    pub entry: EngineEntry,
    /// Hash of its name, for deterministic orders of engines.
    pub name_hash: u64,
    /// When it was first listed in this life.
    pub listed_at: Timestamp,
    /// What it has said of itself.
    pub condition: Condition,
    /// Whether it fails requests.
    pub health: EngineHealth,
    /// Work of this process there.
    pub own_load: Rc<RefCell<EngineLoad>>,
    /// Work of all other processes there, as they last told.
    pub foreign_load: EngineLoad,
    /// The weights that it loads, as long as this is believed.
    loading: Option<Loading>,
    /// It had other weights than expected, so it is about to load and is avoided until this time.
    misdirected_until: Option<Timestamp>,
    /// Weights that it seems to have, though nobody said so: model and version.
    presumed_weights: Option<(String, u64)>,
    /// Its entry went without a word while the list was not to be trusted.
    pub is_unlisted: bool,
    /// It refused work for want of room and is avoided until this time.
    pub full_until: Option<Timestamp>,
    /// How often it refused work since it last took some.
    refusals_in_a_row: u32,
    /// When the latest request was sent that it has answered.
    answered_sent_at: Option<Timestamp>,
    /// When it seems to have ended: its connections broke off, and it has taken nothing since.
    crashed_at: Option<Timestamp>,
}

impl Engine {
    /// An engine that was just listed.
    pub fn new(entry: EngineEntry) -> Self {
        Self {
            name_hash: xxh3_64(entry.name.as_str().as_bytes()),
            entry,
            listed_at: Timestamp::ZERO,
            condition: Condition::default(),
            health: EngineHealth::default(),
            own_load: Rc::default(),
            foreign_load: EngineLoad::default(),
            loading: None,
            misdirected_until: None,
            presumed_weights: None,
            is_unlisted: false,
            full_until: None,
            refusals_in_a_row: 0,
            answered_sent_at: None,
            crashed_at: None,
        }
    }

    /// Whether it is slow from its start.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now.since(self.listed_at) < self.entry.cold_left
    }

    /// Version of its weights of a model, as far as known.
    pub fn weights_of(&self, model: &str) -> Option<u64> {
        self.entry.weights.get(model).copied()
    }

    /// Version of its weights that requests should expect: the known one, unless it turned that
    /// away after a load of another was announced.
    pub fn serving_weights_of(&self, model: &str) -> Option<u64> {
        let presumed_weights = self.presumed_weights.as_ref();
        let presumed_weights = presumed_weights.filter(|(of, _)| of == model);
        presumed_weights
            .map(|(_, version)| *version)
            .max(self.weights_of(model))
    }

    /// Takes news of its weights; versions only rise within one life of an engine.
    pub fn note_weights(&mut self, model: &str, version: u64) -> bool {
        // News of the version before say nothing about the end of a load.
        self.loading
            .take_if(|loading| loading.model == model && loading.version <= version);
        let known = self.entry.weights.entry(model.to_owned()).or_default();
        let is_news = version > *known;
        if is_news {
            *known = version;
        }
        is_news
    }

    /// It loads a version of a model's weights, which is believed until `until` at most.
    pub fn note_loading(&mut self, model: &str, version: u64, until: Timestamp) {
        let newest = self.loading.as_ref().map(|loading| loading.version);
        let is_old = self.weights_of(model) >= Some(version) || newest > Some(version);
        if !is_old {
            self.loading = Some(Loading {
                model: model.to_owned(),
                version,
                until,
            });
        }
    }

    /// It turned a request away that expected this version of a model's weights.
    ///
    /// When a load was announced and its end never told, as when the node that ordered it has lost
    /// its lease, the engine most likely has loaded. That is presumed until it turns those weights
    /// away as well; else the engine is avoided until `until`.
    pub fn note_misdirected(&mut self, expected: Option<(&str, u64)>, until: Timestamp) {
        let expected = expected.map(|(model, version)| (model.to_owned(), version));
        let loaded = self.loading.as_ref();
        let loaded = loaded.map(|loading| (loading.model.clone(), loading.version));
        let was_presumed = expected.is_some() && self.presumed_weights == expected;
        match (expected, loaded) {
            (Some(expected), Some(loaded))
                if !was_presumed && expected.0 == loaded.0 && expected.1 < loaded.1 =>
            {
                self.presumed_weights = Some(loaded);
            }
            _ => {
                self.presumed_weights = None;
                self.misdirected_until = self.misdirected_until.max(Some(until));
            }
        }
    }

    /// Whether it is believed to load weights.
    pub fn is_loading(&self, now: Timestamp) -> bool {
        let loading = self.loading.as_ref();
        loading.is_some_and(|loading| now < loading.until)
    }

    /// It refused work for want of room: avoided for longer after each refusal in a row, as when it
    /// loads weights and nobody could tell.
    pub fn note_full(&mut self, now: Timestamp) {
        let doublings = self.refusals_in_a_row.min(MAX_BACKOFF_DOUBLINGS);
        self.refusals_in_a_row += 1;
        self.full_until = Some(now.after(FULL_BACKOFF * 2_u32.pow(doublings)));
    }

    /// It took work.
    pub fn note_accepted(&mut self) {
        self.refusals_in_a_row = 0;
        self.crashed_at = None;
    }

    /// The connection of a run that began then broke off. Runs that end together are one end, that of the first.
    pub fn note_crashed(&mut self, began: Timestamp, ended: Timestamp) {
        let is_known = self.crashed_at.is_some_and(|at| at >= began);
        if !is_known {
            self.crashed_at = Some(ended);
        }
    }

    /// When it seems to have ended.
    pub fn crashed_at(&self) -> Option<Timestamp> {
        self.crashed_at
    }

    /// It answered a request that was sent then, in whatever way.
    pub fn note_answer_to(&mut self, sent_at: Timestamp) {
        self.answered_sent_at = self.answered_sent_at.max(Some(sent_at));
    }

    /// Whether it has answered anything since this process knows it.
    pub fn has_answered(&self) -> bool {
        self.answered_sent_at.is_some()
    }

    /// Whether it has answered a request that was sent after a moment.
    pub fn has_answered_request_sent_after(&self, moment: Timestamp) -> bool {
        self.answered_sent_at > Some(moment)
    }

    /// Whether it stays, by the list and by its own word, which may be newer.
    pub fn is_staying(&self) -> bool {
        self.entry.state == EngineState::Ready && !self.condition.is_leaving()
    }

    /// Whether new work may be sent. What the engine says of itself is a promise to it: as a cost, like other refusals, it
    /// would be outweighed when all other engines cost more.
    pub fn takes_work(&self, now: Timestamp) -> bool {
        let is_misdirected = self.misdirected_until.is_some_and(|until| now < until);
        let is_willing = self.is_staying() && !self.is_loading(now);
        is_willing && !is_misdirected && self.condition.bar(now).is_none()
    }

    /// All work there.
    pub fn load(&self) -> EngineLoad {
        let mut load = *self.own_load.borrow();
        load.add(self.foreign_load);
        load
    }
}
