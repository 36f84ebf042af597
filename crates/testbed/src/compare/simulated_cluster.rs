//! A simulated cluster under one policy.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::{
    Assignment, AttemptOutcome, DispatchAction, DispatchEvent, EngineObservation, FinalOutcome,
    NotRunReason, Priority, Repeatability, RequestProfile, ResumePoint,
};
use ryerouter_core::identity::{AttemptId, IdempotencyKey, Incarnation, RequestId};
use ryerouter_core::prompt::PrefixChain;
use xxhash_rust::xxh3::Xxh3;

use super::attempt_state::AttemptState;
use super::cluster_event::ClusterEvent;
use super::cluster_router::ClusterRouter;
use super::deployment::{Deployment, Site};
use super::measurements::Measurements;
use super::placement_miss::{EnginePlace, judge};
use super::simulated_engine::SimulatedEngine;
use super::simulated_service::SimulatedService;
use crate::engine_model::{EngineEvent, EngineModel, EngineOutput, EngineProfile, EngineRequest};
use crate::scenario::{FaultSpec, Scenario};
use crate::workload::{GeneratedRequest, GeneratedWork, ModelPrompt, Workload};

/// How often a router process looks at its queue while requests wait in it.
const TICK: Duration = Duration::from_millis(10);
/// How long the run goes on after the last arrival, for what is still under way.
const RUN_OUT: Duration = Duration::from_secs(60);

/// A request that has not ended.
#[derive(Debug, Clone, Copy)]
struct OpenRequest {
    node: usize,
    request: usize,
    attempts_under_way: u32,
    has_first_token: bool,
}

/// A simulated cluster under one policy.
pub(super) struct SimulatedCluster {
    scenario: Arc<Scenario>,
    workload: Arc<Workload>,
    deployment: Arc<Deployment>,
    router: Box<dyn ClusterRouter>,
    engines: Vec<SimulatedEngine>,
    services: Vec<SimulatedService>,
    attempts: HashMap<AttemptId, AttemptState>,
    open: BTreeMap<RequestId, OpenRequest>,
    waiting_at_node: Vec<u32>,
    tick_scheduled: Vec<bool>,
    network: ChaCha8Rng,
    scheduled: Vec<(Timestamp, ClusterEvent)>,
    arrived: usize,
    actions: Vec<DispatchAction>,
    outputs: Vec<EngineOutput>,
    /// What is measured.
    pub measurements: Measurements,
    trace: Xxh3,
}

impl desque::SimState<u64> for SimulatedCluster {
    fn is_complete(&self, now: &u64) -> bool {
        let end = Timestamp::ZERO.after(self.scenario.duration());
        let all_done = self.arrived == self.workload.requests.len() && self.open.is_empty();
        let now = Timestamp::from_micros(*now);
        now >= end && (all_done || now >= end.after(RUN_OUT))
    }
}

impl SimulatedCluster {
    /// A cluster whose caches are empty, before the first arrival.
    pub fn new(
        scenario: Arc<Scenario>,
        workload: Arc<Workload>,
        deployment: Arc<Deployment>,
        router: Box<dyn ClusterRouter>,
        seed: u64,
    ) -> Self {
        let new_engine = |_| SimulatedEngine {
            model: EngineModel::new(
                scenario.engine.clone(),
                Incarnation(1),
                deployment.weights_version,
            ),
            down: false,
            wake_at: None,
        };
        let engines = (0..deployment.engines.len()).map(new_engine).collect();
        let services = deployment
            .services
            .iter()
            .map(|_| SimulatedService::default());
        let nodes = deployment.nodes.len();
        let mut cluster = Self {
            measurements: Measurements::new(
                Timestamp::ZERO.after(scenario.warm_up()),
                Timestamp::ZERO.after(scenario.duration()),
            ),
            services: services.collect(),
            engines,
            router,
            attempts: HashMap::new(),
            open: BTreeMap::new(),
            waiting_at_node: vec![0; nodes],
            tick_scheduled: vec![false; nodes],
            network: ChaCha8Rng::seed_from_u64(seed),
            scheduled: Vec::new(),
            arrived: 0,
            actions: Vec::new(),
            outputs: Vec::new(),
            trace: Xxh3::new(),
            scenario,
            workload,
            deployment,
        };
        cluster.schedule_arrivals();
        cluster.schedule_faults();
        cluster.schedule_reports();
        cluster
    }

    /// Takes the events that are to be scheduled.
    pub fn take_scheduled(&mut self) -> Vec<(Timestamp, ClusterEvent)> {
        std::mem::take(&mut self.scheduled)
    }

    /// Ends the run: requests that are still open count as waiting until now.
    pub fn end(&mut self, now: Timestamp) {
        for open in std::mem::take(&mut self.open).into_values() {
            let generated = &self.workload.requests[open.request];
            if !self.measurements.covers(generated.sent_at) {
                continue;
            }
            self.measurements.unfinished += 1;
            if let (GeneratedWork::Model(prompt), false) = (&generated.work, open.has_first_token) {
                let wait = now.since(generated.sent_at);
                self.measurements.first_token(prompt.priority, wait);
            }
        }
    }

    /// Hash of everything that happened.
    pub fn trace_hash(&self) -> u64 {
        self.trace.digest()
    }

    /// Length of the run over which engines' work is measured.
    pub fn measured_duration(&self) -> Duration {
        self.scenario.duration() - self.scenario.warm_up()
    }

    /// Engines in the cluster.
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }

    /// Speed and sizes of each engine.
    pub fn engine_profile(&self) -> &EngineProfile {
        &self.scenario.engine
    }

    /// Lets an event happen.
    pub fn handle(&mut self, event: ClusterEvent, now: Timestamp) {
        match event {
            ClusterEvent::RequestArrives { request } => self.request_arrives(request, now),
            ClusterEvent::NodeReceives { node, event } => self.node_receives(node, event, now),
            ClusterEvent::NodeTicks { node } => self.node_ticks(node, now),
            ClusterEvent::EngineReceives { engine, request } => {
                self.engine_receives(engine, request, now);
            }
            ClusterEvent::EngineCancels { engine, attempt } => {
                self.engine_handles(engine, EngineEvent::Cancel { attempt }, now);
            }
            ClusterEvent::EngineWakes { engine } => self.engine_wakes(engine, now),
            ClusterEvent::EngineCrashes { engine, back_at } => {
                self.engine_crashes(engine, back_at, now);
            }
            ClusterEvent::EngineReturns { engine } => self.engines[engine].down = false,
            ClusterEvent::EngineReports { engine } => self.engine_reports(engine, now),
            ClusterEvent::ServiceReceives { back_end, attempt } => {
                self.service_receives(back_end, attempt, now);
            }
            ClusterEvent::ServiceFinishes { back_end, attempt } => {
                self.service_finishes(back_end, attempt, now);
            }
        }
    }

    fn schedule(&mut self, at: Timestamp, event: ClusterEvent) {
        self.scheduled.push((at, event));
    }

    fn schedule_arrivals(&mut self) {
        let client = Duration::from_micros(self.scenario.network.client_micros);
        for request in 0..self.workload.requests.len() {
            let at = self.workload.requests[request].sent_at.after(client);
            self.schedule(at, ClusterEvent::RequestArrives { request });
        }
    }

    fn schedule_faults(&mut self) {
        for fault in self.scenario.faults.clone() {
            let at = Timestamp::ZERO.after(Duration::from_secs_f64(fault.at_seconds()));
            match fault {
                FaultSpec::EngineCrash {
                    engine,
                    down_millis,
                    ..
                } => self.schedule_crash(engine as usize, at, down_millis),
                FaultSpec::ZoneCrash {
                    zone, down_millis, ..
                } => {
                    for engine in 0..self.engines.len() {
                        if self.deployment.engines[engine].zone.as_str() == zone {
                            self.schedule_crash(engine, at, down_millis);
                        }
                    }
                }
            }
        }
    }

    fn schedule_crash(&mut self, engine: usize, at: Timestamp, down_millis: u64) {
        let back_at = at.after(Duration::from_millis(down_millis));
        self.schedule(at, ClusterEvent::EngineCrashes { engine, back_at });
    }

    /// Engines report at the same rate but not at the same moment.
    fn schedule_reports(&mut self) {
        let interval = self.report_interval();
        for engine in 0..self.engines.len() {
            let share = engine as f64 / self.engines.len() as f64;
            let at = Timestamp::ZERO.after(interval.mul_f64(share));
            self.schedule(at, ClusterEvent::EngineReports { engine });
        }
    }

    fn report_interval(&self) -> Duration {
        Duration::from_millis(self.scenario.load_reports.interval_millis)
    }

    fn request_arrives(&mut self, request: usize, now: Timestamp) {
        self.arrived += 1;
        let generated = &self.workload.requests[request];
        let node = generated.session.0 as usize % self.deployment.nodes.len();
        if self.measurements.covers(generated.sent_at) {
            self.measurements.requests += 1;
        }
        let open = OpenRequest {
            node,
            request,
            attempts_under_way: 0,
            has_first_token: false,
        };
        let profile = self.profile(generated, now);
        self.open.insert(generated.request.clone(), open);
        self.waiting_at_node[node] += 1;
        self.node_receives(node, DispatchEvent::Submitted(Box::new(profile)), now);
    }

    fn profile(&self, generated: &GeneratedRequest, now: Timestamp) -> RequestProfile {
        let repeatability = if generated.at_most_once {
            Repeatability::AtMostOnce(IdempotencyKey::new(generated.request.as_str()))
        } else {
            Repeatability::Repeatable
        };
        let (pool, prefix, prompt_tokens, output_tokens, priority) = match &generated.work {
            GeneratedWork::Model(prompt) => (
                self.deployment.model_pool.clone(),
                prompt.prefix.clone(),
                prompt.prompt_tokens,
                prompt.output_tokens,
                prompt.priority,
            ),
            GeneratedWork::Service => (
                self.deployment.service_pool.clone(),
                PrefixChain::default(),
                0,
                0,
                Priority::Interactive,
            ),
        };
        RequestProfile {
            request: generated.request.clone(),
            tenant: generated.tenant.clone(),
            pool,
            prefix,
            prompt_tokens,
            expected_output_tokens: output_tokens,
            priority,
            deadline: generated
                .patience
                .map(|patience| generated.sent_at.after(patience)),
            repeatability,
            arrived_at: now,
        }
    }

    fn node_receives(&mut self, node: usize, event: DispatchEvent, now: Timestamp) {
        if let DispatchEvent::FirstToken { attempt } = event {
            self.note_first_token(attempt, now);
        }
        if let DispatchEvent::AttemptEnded { attempt, .. } = event {
            self.note_attempt_ended(attempt);
        }
        let mut actions = std::mem::take(&mut self.actions);
        self.router
            .handle(node, event, now, &self.engines, &mut actions);
        for action in actions.drain(..) {
            self.perform(node, action, now);
        }
        self.actions = actions;
        self.schedule_tick(node, now);
    }

    fn note_first_token(&mut self, attempt: AttemptId, now: Timestamp) {
        let Some(state) = self.attempts.get(&attempt) else {
            return;
        };
        let generated = &self.workload.requests[state.request];
        let Some(open) = self.open.get_mut(&generated.request) else {
            return;
        };
        let GeneratedWork::Model(prompt) = &generated.work else {
            return;
        };
        if open.has_first_token {
            return;
        }
        open.has_first_token = true;
        if self.measurements.covers(generated.sent_at) {
            let client = Duration::from_micros(self.scenario.network.client_micros);
            let wait = now.since(generated.sent_at) + client;
            self.measurements.first_token(prompt.priority, wait);
        }
    }

    fn note_attempt_ended(&mut self, attempt: AttemptId) {
        let Some(state) = self.attempts.remove(&attempt) else {
            return;
        };
        let request = &self.workload.requests[state.request].request;
        if let Some(open) = self.open.get_mut(request) {
            open.attempts_under_way -= 1;
            if open.attempts_under_way == 0 {
                self.waiting_at_node[open.node] += 1;
            }
        }
    }

    fn node_ticks(&mut self, node: usize, now: Timestamp) {
        self.tick_scheduled[node] = false;
        self.node_receives(node, DispatchEvent::Tick, now);
    }

    fn schedule_tick(&mut self, node: usize, now: Timestamp) {
        if self.waiting_at_node[node] > 0 && !self.tick_scheduled[node] {
            self.tick_scheduled[node] = true;
            self.schedule(now.after(TICK), ClusterEvent::NodeTicks { node });
        }
    }

    fn perform(&mut self, node: usize, action: DispatchAction, now: Timestamp) {
        match action {
            DispatchAction::Start {
                request,
                assignment,
            } => self.start_attempt(node, &request, &assignment, now),
            DispatchAction::Cancel { attempt } => self.cancel_attempt(attempt, now),
            DispatchAction::Finish { request, outcome } => self.finish(&request, outcome, now),
            // Tenants have no limits in a comparison.
            DispatchAction::SendLimit(_) => {}
        }
    }

    fn start_attempt(
        &mut self,
        node: usize,
        request: &RequestId,
        assignment: &Assignment,
        now: Timestamp,
    ) {
        let open = self
            .open
            .get_mut(request)
            .expect("only open requests are attempted");
        if open.attempts_under_way == 0 {
            self.waiting_at_node[node] -= 1;
        }
        open.attempts_under_way += 1;
        let number = open.request;
        let back_end = self.deployment.number(&assignment.back_end);
        let state = AttemptState {
            node,
            request: number,
            back_end,
            chunks: 0,
        };
        self.attempts.insert(assignment.attempt, state);
        self.note_trace(now, number as u64, back_end as u64);
        let at = now.after(self.delay(node, back_end));
        let generated = &self.workload.requests[number];
        if self.measurements.covers(generated.sent_at) {
            self.measurements.attempts += 1;
        }
        match &generated.work {
            GeneratedWork::Service => {
                let attempt = assignment.attempt;
                self.schedule(at, ClusterEvent::ServiceReceives { back_end, attempt });
            }
            GeneratedWork::Model(prompt) => {
                let request = Box::new(engine_request(prompt, assignment));
                self.judge_placement(number, back_end);
                self.schedule(
                    at,
                    ClusterEvent::EngineReceives {
                        engine: back_end,
                        request,
                    },
                );
            }
        }
    }

    /// Compares the chosen engine with the live one that has most of the prompt cached.
    fn judge_placement(&mut self, request: usize, chosen: usize) {
        let generated = &self.workload.requests[request];
        let GeneratedWork::Model(prompt) = &generated.work else {
            return;
        };
        if !self.measurements.covers(generated.sent_at) {
            return;
        }
        let cached = |engine: usize| cached_tokens(&self.engines[engine].model, &prompt.prefix);
        let live = (0..self.engines.len()).filter(|engine| !self.engines[*engine].down);
        let Some(holder) = live.max_by_key(|engine| cached(*engine)) else {
            return;
        };
        let chosen = self.place(chosen, cached(chosen));
        let holder = self.place(holder, cached(holder));
        if let Some(miss) = judge(prompt.prompt_tokens, chosen, holder) {
            let tokens = holder.cached_tokens - chosen.cached_tokens;
            self.measurements.missed(miss, tokens);
        }
    }

    fn place(&self, engine: usize, cached_tokens: u32) -> EnginePlace {
        let model = &self.engines[engine].model;
        let profile = model.profile();
        let running = model.status().running as usize;
        let step = profile.step_duration(running, profile.prefill_chunk_tokens);
        EnginePlace {
            cached_tokens,
            queued_tokens: model.queued_prefill_tokens(),
            per_token: step / profile.prefill_chunk_tokens,
        }
    }

    fn cancel_attempt(&mut self, attempt: AttemptId, now: Timestamp) {
        let Some(state) = self.attempts.get(&attempt).cloned() else {
            return;
        };
        let at = now.after(self.delay(state.node, state.back_end));
        if state.back_end < self.engines.len() {
            let engine = state.back_end;
            self.schedule(at, ClusterEvent::EngineCancels { engine, attempt });
        }
    }

    fn finish(&mut self, request: &RequestId, outcome: FinalOutcome, now: Timestamp) {
        let Some(open) = self.open.remove(request) else {
            return;
        };
        if open.attempts_under_way == 0 {
            self.waiting_at_node[open.node] -= 1;
        }
        self.note_trace(now, open.request as u64, u64::MAX);
        let generated = &self.workload.requests[open.request];
        let generated_work = &generated.work;
        if !self.measurements.covers(generated.sent_at) {
            return;
        }
        match outcome {
            FinalOutcome::Completed => self.measurements.completed += 1,
            FinalOutcome::Cancelled => {}
            FinalOutcome::Refused(refusal) => {
                self.measurements.refused(refusal.reason);
                // A refused caller counts as one that waited for as long as it could.
                if let (GeneratedWork::Model(prompt), Some(patience), false) =
                    (generated_work, generated.patience, open.has_first_token)
                {
                    self.measurements.first_token(prompt.priority, patience);
                }
            }
        }
    }

    fn engine_receives(&mut self, engine: usize, request: Box<EngineRequest>, now: Timestamp) {
        if self.engines[engine].down {
            let outcome = AttemptOutcome::NotRun(NotRunReason::ConnectFailed);
            self.end_attempt(request.attempt, outcome, None, now);
            return;
        }
        self.engine_handles(engine, EngineEvent::Submit(request), now);
    }

    fn engine_wakes(&mut self, engine: usize, now: Timestamp) {
        if self.engines[engine].wake_at == Some(now) {
            self.engines[engine].wake_at = None;
            self.engine_handles(engine, EngineEvent::Wake, now);
        }
    }

    fn engine_handles(&mut self, engine: usize, event: EngineEvent, now: Timestamp) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.engines[engine].model.handle(event, now, &mut outputs);
        for output in outputs.drain(..) {
            self.engine_says(engine, output, now);
        }
        self.outputs = outputs;
        self.schedule_wake(engine);
    }

    fn schedule_wake(&mut self, engine: usize) {
        let next = self.engines[engine].model.next_wake();
        if next == self.engines[engine].wake_at {
            return;
        }
        self.engines[engine].wake_at = next;
        if let Some(at) = next {
            self.schedule(at, ClusterEvent::EngineWakes { engine });
        }
    }

    fn engine_says(&mut self, engine: usize, output: EngineOutput, now: Timestamp) {
        match output {
            EngineOutput::Refused { attempt, reason } => {
                let observation = self.engines[engine].model.status().observation();
                let outcome = AttemptOutcome::NotRun(reason);
                self.end_attempt(attempt, outcome, Some(observation), now);
            }
            EngineOutput::Accepted { attempt } => self.answer_starts(engine, attempt, now),
            EngineOutput::Chunk { attempt, .. } => self.chunk_leaves(attempt, now),
            EngineOutput::Finished {
                attempt,
                prompt_tokens,
                cached_tokens,
                ..
            } => self.answer_ends(engine, attempt, prompt_tokens, cached_tokens, now),
            EngineOutput::Lost { attempt } => self.answer_breaks(attempt, now),
            EngineOutput::Cancelled { attempt } => {
                self.end_attempt(attempt, AttemptOutcome::Cancelled, None, now);
            }
            EngineOutput::Computed { hash, tokens } => {
                self.measurements.computed(hash, tokens, now)
            }
            EngineOutput::Stored { hash, .. } => self.measurements.waste.stored(hash),
            EngineOutput::Evicted { hash, .. } => self.measurements.waste.evicted(hash),
            EngineOutput::Started { .. }
            | EngineOutput::Exported { .. }
            | EngineOutput::WeightsLoaded { .. } => {}
        }
    }

    fn answer_starts(&mut self, engine: usize, attempt: AttemptId, now: Timestamp) {
        let observation = self.engines[engine].model.status().observation();
        self.tell_node(
            attempt,
            now,
            DispatchEvent::AnswerStarted {
                attempt,
                observation,
            },
        );
    }

    fn chunk_leaves(&mut self, attempt: AttemptId, now: Timestamp) {
        let Some(state) = self.attempts.get_mut(&attempt) else {
            return;
        };
        state.chunks += 1;
        self.measurements.answered(now);
        if state.chunks == 1 {
            self.tell_node(attempt, now, DispatchEvent::FirstToken { attempt });
        }
    }

    fn answer_ends(
        &mut self,
        engine: usize,
        attempt: AttemptId,
        prompt_tokens: u32,
        cached_tokens: u32,
        now: Timestamp,
    ) {
        let Some(state) = self.attempts.get(&attempt) else {
            return;
        };
        let sent_at = self.workload.requests[state.request].sent_at;
        if self.measurements.covers(sent_at) {
            self.measurements.prompt_tokens += u64::from(prompt_tokens);
            self.measurements.cached_tokens += u64::from(cached_tokens);
        }
        let observation = EngineObservation {
            cached_tokens: Some(cached_tokens),
            prompt_tokens: Some(prompt_tokens),
            ..self.engines[engine].model.status().observation()
        };
        self.end_attempt(attempt, AttemptOutcome::Completed, Some(observation), now);
    }

    fn answer_breaks(&mut self, attempt: AttemptId, now: Timestamp) {
        let Some(state) = self.attempts.get(&attempt) else {
            return;
        };
        let outcome = match state.chunks {
            0 => AttemptOutcome::Unknown,
            chunks => AttemptOutcome::Broken { chunks },
        };
        self.end_attempt(attempt, outcome, None, now);
    }

    fn end_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        observation: Option<EngineObservation>,
        now: Timestamp,
    ) {
        self.tell_node(
            attempt,
            now,
            DispatchEvent::AttemptEnded {
                attempt,
                outcome,
                observation,
            },
        );
    }

    fn tell_node(&mut self, attempt: AttemptId, now: Timestamp, event: DispatchEvent) {
        let Some(state) = self.attempts.get(&attempt) else {
            return;
        };
        let node = state.node;
        let back_end = state.back_end;
        let at = now.after(self.delay_without_jitter(node, back_end));
        self.schedule(at, ClusterEvent::NodeReceives { node, event });
    }

    fn engine_crashes(&mut self, engine: usize, back_at: Timestamp, now: Timestamp) {
        for hash in self.engines[engine].model.cache().hashes() {
            self.measurements.waste.crashed(hash);
        }
        self.engines[engine].down = true;
        let incarnation = self.engines[engine].model.status().incarnation.next();
        self.engine_handles(engine, EngineEvent::Restart { incarnation }, now);
        self.schedule(back_at, ClusterEvent::EngineReturns { engine });
    }

    fn engine_reports(&mut self, engine: usize, now: Timestamp) {
        let interval = self.report_interval();
        if now < Timestamp::ZERO.after(self.scenario.duration()) {
            self.schedule(now.after(interval), ClusterEvent::EngineReports { engine });
        }
        if self.engines[engine].down {
            return;
        }
        let observation = self.engines[engine].model.status().observation();
        let lag = Duration::from_millis(self.scenario.load_reports.lag_millis);
        let back_end = self.deployment.name(engine).clone();
        for node in 0..self.deployment.nodes.len() {
            let loss = self.scenario.load_reports.loss_permille;
            if self.network.random_range(0..PERMILLE) < loss {
                continue;
            }
            let event = DispatchEvent::LoadReported {
                back_end: back_end.clone(),
                observation,
            };
            let event = ClusterEvent::NodeReceives { node, event };
            self.schedule(now.after(lag), event);
        }
    }

    fn service_receives(&mut self, back_end: usize, attempt: AttemptId, now: Timestamp) {
        let index = back_end - self.engines.len();
        let service = &mut self.services[index];
        if service.busy >= self.scenario.service_pool.concurrency {
            service.waiting.push_back(attempt);
            return;
        }
        service.busy += 1;
        self.schedule_service(back_end, attempt, now);
    }

    fn schedule_service(&mut self, back_end: usize, attempt: AttemptId, now: Timestamp) {
        let time = Duration::from_micros(self.scenario.service_pool.service_micros);
        let event = ClusterEvent::ServiceFinishes { back_end, attempt };
        self.schedule(now.after(time), event);
    }

    fn service_finishes(&mut self, back_end: usize, attempt: AttemptId, now: Timestamp) {
        self.end_attempt(attempt, AttemptOutcome::Completed, None, now);
        let index = back_end - self.engines.len();
        match self.services[index].waiting.pop_front() {
            Some(next) => self.schedule_service(back_end, next, now),
            None => self.services[index].busy -= 1,
        }
    }

    fn delay(&mut self, node: usize, back_end: usize) -> Duration {
        let delay = self.delay_without_jitter(node, back_end);
        let jitter = self.scenario.network.jitter_permille;
        let permille = self.network.random_range(0..=jitter);
        delay + delay * permille / PERMILLE
    }

    fn delay_without_jitter(&self, node: usize, back_end: usize) -> Duration {
        let Site { zone, .. } = &self.deployment.nodes[node];
        let same_zone = *zone == self.deployment.site(back_end).zone;
        self.scenario.network.one_way(same_zone)
    }

    fn note_trace(&mut self, now: Timestamp, subject: u64, what: u64) {
        for number in [now.as_micros(), subject, what] {
            self.trace.update(&number.to_le_bytes());
        }
    }
}

const PERMILLE: u32 = 1_000;

fn engine_request(prompt: &ModelPrompt, assignment: &Assignment) -> EngineRequest {
    let delivered = match assignment.resume {
        Some(ResumePoint::Continue { delivered_chunks }) => delivered_chunks as u32,
        Some(ResumePoint::SameEngine { next_chunk, .. }) => next_chunk as u32,
        None => 0,
    };
    EngineRequest {
        attempt: assignment.attempt,
        prefix: prompt.prefix.clone(),
        prompt_tokens: prompt.prompt_tokens + delivered,
        output_tokens: prompt.output_tokens,
        first_chunk: delivered,
        priority: prompt.priority,
        incarnation: assignment.incarnation,
        weights_version: assignment.weights_version,
        kv_import: None,
        kv_export: None,
    }
}

fn cached_tokens(model: &EngineModel, prefix: &PrefixChain) -> u32 {
    let matched = model.cache().matching_blocks(&prefix.blocks);
    let last = matched.checked_sub(1);
    last.map_or(0, |last| prefix.blocks[last].end_tokens)
}
