//! One engine as this process knows it.

use std::cell::RefCell;
use std::rc::Rc;

use ryerouter_core::Timestamp;
use ryerouter_core::retry::EngineHealth;
use xxhash_rust::xxh3::xxh3_64;

use super::{EngineEntry, EngineLoad, EngineState};

/// One engine or plain back end as this process knows it.
#[derive(Debug)]
pub struct Engine {
    /// What the list tells.
    pub entry: EngineEntry,
    /// Hash of its name, for deterministic orders of engines.
    pub name_hash: u64,
    /// Whether it fails requests.
    pub health: EngineHealth,
    /// Work of this process there.
    pub own_load: Rc<RefCell<EngineLoad>>,
    /// Work of all other processes there, as they last told.
    pub foreign_load: EngineLoad,
    /// While it loads weights: until when this is believed without further news.
    pub loading_until: Option<Timestamp>,
    /// Its entry went without a word while the list was not to be trusted.
    pub is_unlisted: bool,
    /// It refused work for want of room until this time.
    pub full_until: Option<Timestamp>,
}

impl Engine {
    /// An engine that was just listed.
    pub fn new(entry: EngineEntry) -> Self {
        Self {
            name_hash: xxh3_64(entry.name.as_str().as_bytes()),
            entry,
            health: EngineHealth::default(),
            own_load: Rc::default(),
            foreign_load: EngineLoad::default(),
            loading_until: None,
            is_unlisted: false,
            full_until: None,
        }
    }

    /// Version of its weights of a model, as far as known.
    pub fn weights_of(&self, model: &str) -> Option<u64> {
        self.entry.weights.get(model).copied()
    }

    /// Takes news of its weights; versions only rise within one life of an engine.
    pub fn note_weights(&mut self, model: &str, version: u64) -> bool {
        let known = self.entry.weights.entry(model.to_owned()).or_default();
        let is_news = version > *known;
        if is_news {
            *known = version;
            self.loading_until = None;
        }
        is_news
    }

    /// Whether new work may be sent.
    pub fn takes_work(&self, now: Timestamp) -> bool {
        let is_loading = self.loading_until.is_some_and(|until| now < until);
        self.entry.state == EngineState::Ready && !is_loading
    }

    /// All work there.
    pub fn load(&self) -> EngineLoad {
        let mut load = *self.own_load.borrow();
        load.add(self.foreign_load);
        load
    }
}
