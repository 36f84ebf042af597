//! What an engine holds under its lock.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::identity::{AttemptId, Incarnation};

use crate::engine_model::EngineModel;
use crate::standins::kept_cache::KeptPrefix;
use crate::standins::model_engine::attempt::Attempt;
use crate::standins::model_engine::cache_event_log::CacheEventLog;
use crate::standins::model_engine::load_history::LoadHistory;
use crate::standins::model_engine::request_head::KvReference;
use crate::standins::model_engine::{EngineFaults, EngineSettings};

/// What an engine holds under its lock.
#[derive(Debug)]
pub(super) struct EngineState {
    /// The model.
    pub(super) model: EngineModel,
    /// Attempts that are known still.
    pub(super) attempts: HashMap<AttemptId, Arc<Attempt>>,
    /// KV cache to keep once its attempt has computed it.
    pub(super) exports: HashMap<AttemptId, (KvReference, KeptPrefix)>,
    /// The load it reported, which lags.
    pub(super) load: LoadHistory,
    /// Its cache events.
    pub(super) events: CacheEventLog,
    /// How it misbehaves.
    pub(super) faults: EngineFaults,
    /// Draws faults.
    pub(super) random: ChaCha8Rng,
    /// Newest number that orders were taken under.
    pub(super) fencing_number: u64,
    /// Counts weight loads, so that an overtaken one is dropped.
    pub(super) weight_load: u64,
    /// Adapters it serves.
    pub(super) adapters: BTreeSet<String>,
}

impl EngineState {
    /// State of an engine that just started.
    pub(super) fn new(settings: &EngineSettings) -> Self {
        let model = EngineModel::new(
            settings.profile.clone(),
            Incarnation(1),
            settings.weights_version,
        );
        let load = LoadHistory::new(settings.load_lag, model.status(), Timestamp::ZERO);
        Self {
            load,
            events: CacheEventLog::new(settings.event_delay, settings.seed),
            model,
            attempts: HashMap::new(),
            exports: HashMap::new(),
            faults: EngineFaults::default(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            fencing_number: 0,
            weight_load: 0,
            adapters: settings.adapters.iter().cloned().collect(),
        }
    }
}
