//! State of one engine as known to this process.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::backpressure::Condition;
use ryerouter_core::retry::EngineHealth;
use xxhash_rust::xxh3::xxh3_64;

use super::{EngineEntry, EngineLoad, EngineState};

/// An engine that refused a request for lack of capacity is avoided for this time. The time doubles
/// with each further refusal in a row.
const FULL_BACKOFF: Duration = Duration::from_millis(150);
/// Maximum number of doublings of [`FULL_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Maximum time between two probes of an engine that fails requests. While a cut link keeps many
/// engines out of reach, the others carry their load, so they must be found again soon.
const MAX_EJECTION: Duration = Duration::from_secs(2);

/// Weights that an engine is loading.
#[derive(Debug)]
struct Loading {
    model: String,
    version: u64,
    /// Without further reports the load is assumed to be complete at this time.
    until: Timestamp,
}

/// State of one engine or plain back end as known to this process.
#[derive(Debug)]
pub struct Engine {
    /// Entry of the engine in the source's list.
    pub entry: EngineEntry,
    /// Hash of the name, for deterministic orders of engines.
    pub name_hash: u64,
    /// When the current incarnation was first listed.
    pub listed_at: Timestamp,
    /// State that the engine has signalled about itself, such as limits and shutdown.
    pub condition: Condition,
    /// Whether the engine fails requests.
    pub health: EngineHealth,
    /// Load that this process has placed on the engine.
    pub own_load: Rc<RefCell<EngineLoad>>,
    /// Load that all other processes have placed on the engine, as last reported.
    pub foreign_load: EngineLoad,
    /// Weights that the engine is believed to be loading.
    loading: Option<Loading>,
    /// The engine had other weights than expected, so it is probably about to load. It is avoided
    /// until this time.
    misdirected_until: Option<Timestamp>,
    /// Weights that the engine probably has, although no load was confirmed: model and version.
    presumed_weights: Option<(String, u64)>,
    /// The engine's entry disappeared while the source's list was unreliable. The engine may still
    /// serve requests.
    pub is_unlisted: bool,
    /// The engine refused a request for lack of capacity and is avoided until this time.
    pub full_until: Option<Timestamp>,
    /// Number of refusals since the engine last accepted a request.
    refusals_in_a_row: u32,
    /// When the engine last refused a request of this process for lack of capacity.
    refused_at: Option<Timestamp>,
    /// When this process last received a part of an answer of the engine. Shared with its answers.
    pub heard_at: Rc<Cell<Option<Timestamp>>>,
    /// When the most recent request that the engine answered was sent.
    answered_sent_at: Option<Timestamp>,
    /// When the engine probably crashed: its connections broke, and it has accepted no request
    /// since.
    crashed_at: Option<Timestamp>,
}

impl Engine {
    /// Creates an engine that was just listed.
    pub fn new(entry: EngineEntry) -> Self {
        Self {
            name_hash: xxh3_64(entry.name.as_str().as_bytes()),
            entry,
            listed_at: Timestamp::ZERO,
            condition: Condition::default(),
            health: EngineHealth::with_max_ejection(MAX_EJECTION),
            own_load: Rc::default(),
            foreign_load: EngineLoad::default(),
            loading: None,
            misdirected_until: None,
            presumed_weights: None,
            is_unlisted: false,
            full_until: None,
            refusals_in_a_row: 0,
            refused_at: None,
            heard_at: Rc::default(),
            answered_sent_at: None,
            crashed_at: None,
        }
    }

    /// Whether the engine is still slow after its start.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now.since(self.listed_at) < self.entry.cold_left
    }

    /// Version of the engine's weights of a model, as far as known.
    pub fn weights_of(&self, model: &str) -> Option<u64> {
        self.entry.weights.get(model).copied()
    }

    /// Version of the weights that requests should expect. This is the known version, or the
    /// presumed newer one after the engine rejected a request for the known version while it was
    /// loading.
    pub fn serving_weights_of(&self, model: &str) -> Option<u64> {
        let presumed_weights = self.presumed_weights.as_ref();
        let presumed_weights = presumed_weights.filter(|(of, _)| of == model);
        presumed_weights
            .map(|(_, version)| *version)
            .max(self.weights_of(model))
    }

    /// Applies a report of the engine's weights; returns `true` if the version is newer than the
    /// known one. Versions only increase within one incarnation of an engine.
    pub fn note_weights(&mut self, model: &str, version: u64) -> bool {
        // A report of an older version doesn't mean that the load is complete.
        self.loading
            .take_if(|loading| loading.model == model && loading.version <= version);
        let known = self.entry.weights.entry(model.to_owned()).or_default();
        let is_newer = version > *known;
        if is_newer {
            *known = version;
        }
        is_newer
    }

    /// Records that the engine is loading a version of a model's weights. The load is assumed to be
    /// complete at `until` at the latest.
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

    /// Records that the engine rejected a request because it doesn't have the expected weights.
    ///
    /// If a load was announced but its end never reported, for instance because the node that
    /// ordered it lost its lease, the engine has most likely completed the load. It is then
    /// presumed to have the new weights until it rejects a request for them as well. Otherwise the
    /// engine is avoided until `until`.
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

    /// Whether the engine serves requests, or is due to be tried again after failures.
    pub fn is_healthy(&self, now: Timestamp) -> bool {
        self.health.is_serving() || self.health.is_due_for_probe(now)
    }

    /// Whether the engine is believed to be loading weights.
    pub fn is_loading(&self, now: Timestamp) -> bool {
        let loading = self.loading.as_ref();
        loading.is_some_and(|loading| now < loading.until)
    }

    /// Records that the engine refused a request for lack of capacity. The engine is avoided for
    /// longer after each refusal in a row, because it may be loading weights although no node could
    /// report that.
    pub fn note_full(&mut self, now: Timestamp) {
        let doublings = self.refusals_in_a_row.min(MAX_BACKOFF_DOUBLINGS);
        self.refusals_in_a_row += 1;
        self.refused_at = Some(now);
        self.full_until = Some(now.after(FULL_BACKOFF * 2_u32.pow(doublings)));
    }

    /// Number of refusals for lack of capacity since the engine last accepted a request.
    pub fn refusals_in_a_row(&self) -> u32 {
        self.refusals_in_a_row
    }

    /// When the engine last refused a request of this process for lack of capacity.
    pub fn refused_at(&self) -> Option<Timestamp> {
        self.refused_at
    }

    /// Whether the engine has refused a request of this process for lack of capacity within `time` before `now`.
    pub fn has_refused_within(&self, time: Duration, now: Timestamp) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) < time)
    }

    /// Records that the engine accepted a request.
    pub fn note_accepted(&mut self) {
        self.refusals_in_a_row = 0;
        self.crashed_at = None;
    }

    /// Records that a run which started at `began` lost its connection at `ended`. Runs that were
    /// in progress together count as one crash, at the time of the first loss.
    pub fn note_crashed(&mut self, began: Timestamp, ended: Timestamp) {
        let is_known = self.crashed_at.is_some_and(|at| at >= began);
        if !is_known {
            self.crashed_at = Some(ended);
        }
    }

    /// When the engine probably crashed.
    pub fn crashed_at(&self) -> Option<Timestamp> {
        self.crashed_at
    }

    /// Records any answer to a request that was sent at `sent_at`.
    pub fn note_answer_to(&mut self, sent_at: Timestamp) {
        self.answered_sent_at = self.answered_sent_at.max(Some(sent_at));
    }

    /// Whether the engine has answered anything since this process has known it.
    pub fn has_answered(&self) -> bool {
        self.answered_sent_at.is_some()
    }

    /// Whether the engine has answered a request that was sent after `moment`.
    pub fn has_answered_request_sent_after(&self, moment: Timestamp) -> bool {
        self.answered_sent_at > Some(moment)
    }

    /// Whether the engine is not shutting down, according to its list entry and to its own signals,
    /// which may be newer.
    pub fn is_in_service(&self) -> bool {
        self.entry.state == EngineState::Ready && !self.condition.is_leaving()
    }

    /// Whether new requests may be sent to the engine. The limits that the engine signals are
    /// binding. If they were a cost instead, as other refusals are, they would be ignored whenever
    /// all other engines cost more.
    pub fn takes_work(&self, now: Timestamp) -> bool {
        let is_misdirected = self.misdirected_until.is_some_and(|until| now < until);
        let is_available = self.is_in_service() && !self.is_loading(now);
        is_available && !is_misdirected && self.condition.exclusion(now).is_none()
    }

    /// Total load on the engine.
    pub fn load(&self) -> EngineLoad {
        let mut load = *self.own_load.borrow();
        load.add(self.foreign_load);
        load
    }
}
