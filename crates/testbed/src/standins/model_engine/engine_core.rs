//! The engine model on the real clock, and the attempts it works on.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::NotRunReason;
use ryerouter_core::identity::{AttemptId, Incarnation, WeightsVersion};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::answer_body::FaultAt;
use super::attempt::Attempt;
use super::attempt_progress::AttemptEnd;
use super::attempt_reader::AttemptReader;
use super::cache_event_log::{CacheEvent, CacheEventKind, CacheEventLog};
use super::completion_request::CompletionRequest;
use super::kv_transfer;
use super::load_history::{LoadHistory, LoadReport};
use super::prefill_ledger::PrefixOwner;
use super::request_head::{KvReference, RequestHead};
use super::{EngineFaults, EngineRole, EngineSettings, Order, OrderRequest, TakenCounter};
use crate::engine_model::{
    EngineEvent, EngineModel, EngineOutput, EngineRequest, EngineStatus, ImportedPrefix,
};
use crate::standins::http::HttpClient;
use crate::standins::kept_cache::KeptPrefix;

/// Longest sleep of the driver.
const LONGEST_SLEEP: Duration = Duration::from_secs(3_600);
/// Pause before a weight load that failed is tried again.
const LOAD_RETRY: Duration = Duration::from_millis(200);
/// A time that never comes: weights that are still being fetched.
const NEVER: Timestamp = Timestamp::from_micros(u64::MAX);

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

#[derive(Debug)]
struct EngineState {
    model: EngineModel,
    attempts: HashMap<AttemptId, Arc<Attempt>>,
    exports: HashMap<AttemptId, (KvReference, KeptPrefix)>,
    load: LoadHistory,
    events: CacheEventLog,
    faults: EngineFaults,
    random: ChaCha8Rng,
    fencing_number: u64,
    /// Counts weight loads, so that an overtaken one is dropped.
    weight_load: u64,
    adapters: BTreeSet<String>,
}

impl EngineCore {
    /// An engine that just started, and the task that drives it as long as it is in use.
    pub fn start(settings: EngineSettings) -> Arc<Self> {
        let model = EngineModel::new(
            settings.profile.clone(),
            Incarnation(1),
            settings.weights_version,
        );
        let load = LoadHistory::new(settings.load_lag, model.status(), Timestamp::ZERO);
        let state = EngineState {
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
        };
        let core = Arc::new(Self {
            settings,
            started: Instant::now(),
            client: HttpClient::default(),
            taken: TakenCounter::default(),
            changed: Notify::new(),
            state: Mutex::new(state),
        });
        tokio::spawn(drive(Arc::downgrade(&core)));
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

    /// Takes a request.
    ///
    /// # Errors
    ///
    /// It did not run and never will.
    pub fn submit(
        self: &Arc<Self>,
        head: &RequestHead,
        request: CompletionRequest,
        kv_import: Option<ImportedPrefix>,
    ) -> Result<AttemptReader, NotRunReason> {
        let mut state = self.state.lock();
        if state.attempts.contains_key(&head.attempt) {
            return Err(NotRunReason::Rejected);
        }
        let weights_version = state.model.status().weights_version.0;
        let first_chunk = head.continue_from.unwrap_or(0);
        let prompt_tokens = prompt_tokens(head, &request);
        let engine_request = engine_request(head, &request, prompt_tokens, kv_import);
        let prompt = request.prompt.clone();
        let model = request.model.clone();
        let attempt = Attempt::new(
            head.attempt,
            request,
            weights_version,
            prompt_tokens,
            first_chunk,
        );
        let attempt = Arc::new(attempt);
        if first_chunk > 0 && attempt.text.text(first_chunk) != attempt.request.continue_tokens {
            self.settings.ledger.wrong_continuation();
            return Err(NotRunReason::Rejected);
        }
        self.run(&mut state, attempt.clone(), engine_request)?;
        if let Some(reference) = head.kv_export {
            let kept = KeptPrefix {
                tokens: reference.tokens,
                tenant: head.tenant.clone(),
                weights_version,
            };
            state.exports.insert(head.attempt, (reference, kept));
        }
        drop(state);
        self.taken.add();
        if first_chunk == 0 {
            self.settings.executions.note(&prompt);
        }
        let owner = PrefixOwner {
            tenant: head.tenant.clone(),
            model,
            weights_version,
        };
        let hashes = head.prefix.blocks.iter().map(|block| block.hash);
        self.settings.ledger.used(hashes, &owner);
        Ok(AttemptReader::new(Arc::clone(self), attempt))
    }

    fn run(
        self: &Arc<Self>,
        state: &mut EngineState,
        attempt: Arc<Attempt>,
        request: EngineRequest,
    ) -> Result<(), NotRunReason> {
        let id = attempt.id;
        let all_delivered = request.first_chunk >= request.output_tokens;
        let mut outputs = Vec::new();
        state.attempts.insert(id, Arc::clone(&attempt));
        if all_delivered {
            attempt.end(AttemptEnd::Finished { cached_tokens: 0 });
            return Ok(());
        }
        let submit = EngineEvent::Submit(Box::new(request));
        state.model.handle(submit, self.now(), &mut outputs);
        let refused = outputs.iter().find_map(|output| match output {
            EngineOutput::Refused { attempt, reason } if *attempt == id => Some(*reason),
            _ => None,
        });
        if refused.is_some() {
            state.attempts.remove(&id);
        }
        self.settle(state, outputs);
        refused.map_or(Ok(()), Err)
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

    fn load_weights(self: &Arc<Self>, state: &mut EngineState, weights_version: u64) {
        state.weight_load += 1;
        let load = EngineEvent::LoadWeights {
            weights_version: WeightsVersion(weights_version),
            ready_at: NEVER,
        };
        self.handle(state, load);
        let fetch = fetch_weights(Arc::clone(self), weights_version, state.weight_load);
        tokio::spawn(fetch);
    }

    fn weights_arrived(self: &Arc<Self>, weights_version: u64, load: u64) {
        let mut state = self.state.lock();
        if state.weight_load != load {
            return;
        }
        let arrived = EngineEvent::LoadWeights {
            weights_version: WeightsVersion(weights_version),
            ready_at: self.now(),
        };
        self.handle(&mut state, arrived);
    }

    fn handle(self: &Arc<Self>, state: &mut EngineState, event: EngineEvent) {
        let mut outputs = Vec::new();
        state.model.handle(event, self.now(), &mut outputs);
        self.settle(state, outputs);
    }

    fn settle(self: &Arc<Self>, state: &mut EngineState, outputs: Vec<EngineOutput>) {
        for output in outputs {
            self.settle_one(state, output);
        }
        let status = state.model.status();
        state.load.note(status, self.now());
        self.changed.notify_one();
    }

    fn settle_one(self: &Arc<Self>, state: &mut EngineState, output: EngineOutput) {
        match output {
            EngineOutput::Chunk { attempt, index } => {
                if let Some(attempt) = state.attempts.get(&attempt) {
                    attempt.add_chunk(index);
                }
            }
            EngineOutput::Finished {
                attempt,
                prompt_tokens,
                cached_tokens,
                ..
            } => {
                self.settings.ledger.finished(prompt_tokens, cached_tokens);
                state.exports.remove(&attempt);
                if let Some(attempt) = state.attempts.get(&attempt) {
                    attempt.end(AttemptEnd::Finished { cached_tokens });
                }
            }
            EngineOutput::Cancelled { attempt } | EngineOutput::Lost { attempt } => {
                state.exports.remove(&attempt);
                if let Some(attempt) = state.attempts.get(&attempt) {
                    attempt.end(AttemptEnd::Gone);
                }
            }
            EngineOutput::Computed { hash, tokens } => self.settings.ledger.computed(hash, tokens),
            EngineOutput::Stored { hash, tokens } => {
                self.note_event(state, CacheEventKind::Stored, hash, tokens);
            }
            EngineOutput::Evicted { hash, tokens } => {
                self.note_event(state, CacheEventKind::Evicted, hash, tokens);
            }
            EngineOutput::Exported {
                attempt, tokens, ..
            } => {
                if let Some((reference, mut kept)) = state.exports.remove(&attempt) {
                    kept.tokens = tokens;
                    tokio::spawn(kv_transfer::export(self.client.clone(), reference, kept));
                }
            }
            EngineOutput::Refused { .. }
            | EngineOutput::Accepted { .. }
            | EngineOutput::Started { .. }
            | EngineOutput::WeightsLoaded { .. } => {}
        }
    }

    fn note_event(
        &self,
        state: &mut EngineState,
        kind: CacheEventKind,
        hash: ryerouter_core::prompt::BlockHash,
        tokens: u32,
    ) {
        let incarnation = state.model.status().incarnation.0;
        let lost = state.faults.lost_events_permille;
        state
            .events
            .note(kind, hash, tokens, incarnation, lost, self.now());
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.started.elapsed().as_micros() as u64)
    }
}

/// Wakes the model whenever it asks for it, until the engine is dropped.
async fn drive(core: Weak<EngineCore>) {
    loop {
        let Some(core) = core.upgrade() else {
            return;
        };
        let next = wake(&core);
        let sleep = next.map_or(LONGEST_SLEEP, |due| due.since(core.now()));
        let changed = core.changed.notified();
        let _ = tokio::time::timeout(sleep.min(LONGEST_SLEEP), changed).await;
    }
}

fn wake(core: &Arc<EngineCore>) -> Option<Timestamp> {
    let mut state = core.state.lock();
    let due = state.model.next_wake();
    if due.is_some_and(|due| due <= core.now()) {
        let mut outputs = Vec::new();
        state
            .model
            .handle(EngineEvent::Wake, core.now(), &mut outputs);
        core.settle(&mut state, outputs);
    }
    state.model.next_wake()
}

/// Loads weights until they are there or another load overtakes this one.
async fn fetch_weights(core: Arc<EngineCore>, weights_version: u64, load: u64) {
    let path = format!("/weights/{}/{weights_version}", core.settings.model);
    while let Some(store) = core.settings.weight_store {
        let call = core.client.call(Method::GET, store, &path, Bytes::new());
        let loaded = matches!(call.await, Ok((StatusCode::OK, _)));
        if loaded || core.state.lock().weight_load != load {
            break;
        }
        tokio::time::sleep(LOAD_RETRY).await;
    }
    core.weights_arrived(weights_version, load);
}

/// Tokens of the prompt: what the chain says when it says more than the estimate.
fn prompt_tokens(head: &RequestHead, request: &CompletionRequest) -> u32 {
    let chain_tokens = head
        .prefix
        .blocks
        .last()
        .map_or(0, |block| block.end_tokens);
    request.prompt_tokens().max(chain_tokens)
}

fn engine_request(
    head: &RequestHead,
    request: &CompletionRequest,
    prompt_tokens: u32,
    kv_import: Option<ImportedPrefix>,
) -> EngineRequest {
    EngineRequest {
        attempt: head.attempt,
        prefix: head.prefix.clone(),
        prompt_tokens,
        output_tokens: request.output_tokens,
        first_chunk: head.continue_from.unwrap_or(0),
        priority: head.priority,
        incarnation: head.incarnation,
        weights_version: head.weights_version,
        kv_import,
        kv_export: head.kv_export.map(|reference| reference.prefix),
    }
}
