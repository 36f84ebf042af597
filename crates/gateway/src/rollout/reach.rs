//! Which engines answer the planner's questions.

use std::collections::{BTreeMap, BTreeSet};

use ryerouter_core::identity::BackEndName;

use crate::engines::Engine;

/// Fewer questions in a row without an answer may be due to a lost packet or a restart of the engine.
const MIN_SILENCES: u32 = 2;

/// Which engines answer the planner's questions.
///
/// The health of an engine is known from requests alone, and an engine whose weights are past their
/// deadline gets none. So an engine that requests have ejected is suspect only until it answers a
/// question; see docs/design/orders.md.
#[derive(Debug, Default)]
pub(super) struct Reach {
    /// Suspect engines that have answered since.
    answering: BTreeSet<BackEndName>,
    /// Engines that did not answer, with the number of questions in a row.
    silent: BTreeMap<BackEndName, u32>,
}

impl Reach {
    /// Whether an engine may be unreachable, so that it must answer a question before it takes a
    /// place among the engines that load.
    pub(super) fn is_suspect(&self, engine: &Engine) -> bool {
        let name = &engine.entry.name;
        let has_failed = !engine.health.is_serving() || self.silent.contains_key(name);
        has_failed && !self.answering.contains(name)
    }

    /// Number of questions in a row that an engine did not answer.
    pub(super) fn silences(&self, engine: &BackEndName) -> u32 {
        self.silent.get(engine).copied().unwrap_or_default()
    }

    /// The engines that are out of reach, as far as their silence tells.
    pub(super) fn unreached(&self) -> impl Iterator<Item = &BackEndName> {
        let silent = self.silent.iter();
        let unreached = silent.filter(|(_, silences)| **silences >= MIN_SILENCES);
        unreached.map(|(name, _)| name)
    }

    /// An engine answered a question.
    pub(super) fn note_answer(&mut self, engine: &BackEndName) {
        self.silent.remove(engine);
        self.answering.insert(engine.clone());
    }

    /// An engine did not answer a question; returns how many in a row.
    pub(super) fn note_silence(&mut self, engine: &BackEndName) -> u32 {
        self.answering.remove(engine);
        let silences = self.silent.entry(engine.clone()).or_default();
        *silences += 1;
        *silences
    }

    /// Drops what is known of an engine.
    pub(super) fn forget(&mut self, engine: &BackEndName) {
        self.answering.remove(engine);
        self.silent.remove(engine);
    }

    /// Drops what is known of the engines for which `is_known` is `false`.
    pub(super) fn retain(&mut self, is_known: impl Fn(&BackEndName) -> bool) {
        self.answering.retain(|name| is_known(name));
        self.silent.retain(|name, _| is_known(name));
    }

    /// Drops everything.
    pub(super) fn clear(&mut self) {
        self.answering.clear();
        self.silent.clear();
    }
}
