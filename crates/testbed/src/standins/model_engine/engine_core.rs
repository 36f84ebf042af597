//! The engine model on the real clock, and the attempts it works on.

mod driver;
mod engine_state;
mod output_settlement;
mod submission;
mod weight_loading;

use std::sync::Arc;

use parking_lot::Mutex;
use rand::Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::identity::AttemptId;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::answer_body::FaultAt;
use super::attempt::Attempt;
use super::attempt_progress::AttemptEnd;
use super::attempt_reader::AttemptReader;
use super::cache_event_log::CacheEvent;
use super::kv_transfer;
use super::load_history::LoadReport;
use super::request_head::RequestHead;
use super::{EngineFaults, EngineRole, EngineSettings, Order, OrderRequest, TakenCounter};
use crate::engine_model::{EngineEvent, EngineStatus, ImportedPrefix};
use crate::standins::http::HttpClient;
use engine_state::EngineState;

/// The engine model on the real clock, and the attempts it works on.
#[derive(Debug)]
pub struct EngineCore {
    settings: EngineSettings,
    started: Instant,
    client: HttpClient,
    taken: TakenCounter,
    /// Wakes the driver, whose next wake may have changed.
    changed: Notify,
    state: Mutex<EngineState>,
}

impl EngineCore {
    /// An engine that just started, and the task that drives it as long as it is in use.
    pub fn start(settings: EngineSettings) -> Arc<Self> {
        let state = EngineState::new(&settings);
        let core = Arc::new(Self {
            settings,
            started: Instant::now(),
            client: HttpClient::default(),
            taken: TakenCounter::default(),
            changed: Notify::new(),
            state: Mutex::new(state),
        });
        tokio::spawn(driver::drive(Arc::downgrade(&core)));
        core
    }

    /// Its settings.
    pub fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// What it would truthfully say of itself.
    pub fn status(&self) -> EngineStatus {
        self.state.lock().model.status()
    }

    /// Sets how it misbehaves.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state.lock().faults = faults;
    }

    /// How it misbehaves.
    pub fn faults(&self) -> EngineFaults {
        self.state.lock().faults.clone()
    }

    /// Whether it serves a model or adapter of this name.
    pub fn serves(&self, model: &str) -> bool {
        model == self.settings.model || self.state.lock().adapters.contains(model)
    }

    /// Models and adapters it serves.
    pub fn models(&self) -> Vec<String> {
        let state = self.state.lock();
        let adapters = state.adapters.iter().cloned();
        std::iter::once(self.settings.model.clone())
            .chain(adapters)
            .collect()
    }

    /// The load it reports now.
    pub fn load_report(&self) -> LoadReport {
        self.state.lock().load.told(self.now())
    }

    /// The cache events it tells now.
    pub fn cache_events(&self, from: u64) -> Vec<CacheEvent> {
        self.state.lock().events.told(from, self.now())
    }

    /// Draws the fault of one stream.
    pub fn draw_fault(&self, from: u32, output_tokens: u32) -> Option<FaultAt> {
        let mut state = self.state.lock();
        let fault = state.faults.stream?;
        let permille = state.faults.stream_permille;
        if state.random.random_range(0..1_000) >= permille || from >= output_tokens {
            return None;
        }
        let index = state.random.random_range(from..output_tokens);
        Some(FaultAt { fault, index })
    }

    /// Fetches kept KV cache for a request that asks for it.
    pub async fn import(&self, head: &RequestHead) -> Option<ImportedPrefix> {
        let reference = head.kv_import?;
        let weights_version = self.status().weights_version.0;
        kv_transfer::import(&self.client, reference, &head.tenant, weights_version).await
    }

    /// Reads an attempt that is known still.
    pub fn resume(self: &Arc<Self>, attempt: AttemptId) -> Option<AttemptReader> {
        let state = self.state.lock();
        let attempt = Arc::clone(state.attempts.get(&attempt)?);
        // Counted under the lock, so that it cannot be forgotten in between.
        Some(AttemptReader::new(Arc::clone(self), attempt))
    }

    /// Cancels an attempt; `false` when it is not known.
    pub fn cancel(self: &Arc<Self>, attempt: AttemptId) -> bool {
        let mut state = self.state.lock();
        let Some(known) = state.attempts.remove(&attempt) else {
            return false;
        };
        self.handle(&mut state, EngineEvent::Cancel { attempt });
        known.end(AttemptEnd::Gone);
        true
    }

    /// Cancels an attempt that nobody reads, if it still runs, and forgets it.
    pub fn forget(self: &Arc<Self>, attempt: AttemptId) {
        let abandoned = |known: &Arc<Attempt>| known.is_abandoned();
        let known = self.state.lock().attempts.get(&attempt).cloned();
        if known.as_ref().is_some_and(abandoned) {
            self.cancel(attempt);
        }
    }

    /// The process dies: all work and cache is lost, and the next incarnation is another.
    pub fn lose_everything(self: &Arc<Self>) {
        let mut state = self.state.lock();
        let incarnation = state.model.status().incarnation.next();
        state.weight_load += 1;
        self.handle(&mut state, EngineEvent::Restart { incarnation });
        for attempt in std::mem::take(&mut state.attempts).into_values() {
            attempt.end(AttemptEnd::Gone);
        }
        state.exports.clear();
    }

    /// Carries out an order.
    ///
    /// # Errors
    ///
    /// A newer holder gave orders already; its number.
    pub fn order(self: &Arc<Self>, request: &OrderRequest) -> Result<(), u64> {
        let mut state = self.state.lock();
        if request.fencing_number < state.fencing_number {
            return Err(state.fencing_number);
        }
        state.fencing_number = request.fencing_number;
        match &request.order {
            Order::LoadWeights { weights_version } => {
                self.load_weights(&mut state, *weights_version);
            }
            Order::LoadAdapter { adapter } => {
                state.adapters.insert(adapter.clone());
            }
            Order::SetRole { role } => {
                let draining = *role != EngineRole::Serving;
                self.handle(&mut state, EngineEvent::SetDraining { draining });
            }
        }
        Ok(())
    }

    /// Counts the attempts it takes.
    pub fn taken_counter(&self) -> TakenCounter {
        self.taken.clone()
    }

    /// Newest number orders were taken under.
    pub fn fencing_number(&self) -> u64 {
        self.state.lock().fencing_number
    }

    fn handle(self: &Arc<Self>, state: &mut EngineState, event: EngineEvent) {
        let mut outputs = Vec::new();
        state.model.handle(event, self.now(), &mut outputs);
        self.settle(state, outputs);
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.started.elapsed().as_micros() as u64)
    }
}
