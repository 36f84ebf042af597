//! A cluster of hollow nodes.

mod load_events;
mod requests;
mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use desque::SimState;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::claim::{ClaimOutcome, time_ordered_key};
use ryerouter_core::control::{
    ControlAction, ControlEvent, ControlState, OperationId, PeerMessage, StoreAnswer, StoreCall,
    StoreRequestId,
};
use ryerouter_core::identity::{
    BackEndName, ConfigVersion, IdempotencyKey, Incarnation, NodeName, TenantName,
};
use ryerouter_core::lifecycle::NodePhase;
use ryerouter_core::limit::{LimitDecision, LimitGrant, LimitSend};

use super::ScaleOptions;
use super::byte_kind::ByteKind;
use super::byte_meter::ByteMeter;
use super::counted_bytes::{datagram_bytes, stream_bytes};
use super::event::ScaleEvent;
use super::hollow_node::HollowNode;
use super::layout;
use super::load::{self, LoadEvent};
use super::object_store::ObjectStore;
use super::process::Process;
use super::report::{RequestTotals, ScaleReport, Totals};
use super::resource_use::ResourceUse;
use super::spread_watch::SpreadWatch;

/// Time in which nodes start one after another.
const START_SPREAD: Duration = Duration::from_secs(10);
/// Time before anything is measured.
const WARM_UP: Duration = Duration::from_secs(60);
/// Share of datagrams that are lost.
const LOSS: f64 = 0.01;
/// Time of one way to or from the object API.
const STORE_DELAY: Duration = Duration::from_millis(10);
/// How long a request runs.
const REQUEST_LASTS: Duration = Duration::from_secs(5);
/// Numbers of claims begin far from those of changes.
const FIRST_CLAIM: u64 = 1 << 40;
/// Bytes of HTTP and TCP headers around one call of the object API.
const STORE_CALL_BYTES: u64 = 1_000;

/// A cluster of hollow nodes.
pub struct HollowCluster {
    nodes: Vec<HollowNode>,
    engines: usize,
    requests_per_tick: f64,
    marked: f64,
    request_totals: RequestTotals,
    claims: BTreeMap<OperationId, (TenantName, IdempotencyKey)>,
    last_operation: u64,
    seed: u64,
    end_micros: u64,
    now_micros: u64,
    scheduled: Vec<(u64, ScaleEvent)>,
    store: ObjectStore,
    random: ChaCha8Rng,
    meter: ByteMeter,
    changes: SpreadWatch<ConfigVersion>,
    drains: SpreadWatch<(BackEndName, u64)>,
    restarts: Vec<f64>,
    incarnations: BTreeMap<usize, u64>,
    submitted: u64,
    refused: u64,
    warm: Option<ResourceUse>,
    store_calls_when_warm: u64,
}

impl HollowCluster {
    /// A cluster that is about to start.
    pub fn new(options: &ScaleOptions) -> Self {
        let nodes = options.nodes as usize;
        let engines = options.engines as usize;
        Self {
            nodes: (0..nodes).map(HollowNode::new).collect(),
            engines,
            requests_per_tick: options.requests_per_second as f64 / nodes as f64
                * ControlState::TICK.as_secs_f64(),
            marked: options.marked_permille as f64 / 1_000.0,
            request_totals: RequestTotals::default(),
            claims: BTreeMap::new(),
            last_operation: 0,
            seed: options.seed,
            end_micros: micros(WARM_UP) + micros(Duration::from_secs(options.seconds)),
            now_micros: 0,
            scheduled: Vec::new(),
            store: ObjectStore::with(layout::checkpoint(engines)),
            random: ChaCha8Rng::seed_from_u64(options.seed),
            meter: ByteMeter::new(nodes),
            changes: SpreadWatch::new(),
            drains: SpreadWatch::new(),
            restarts: Vec::new(),
            incarnations: BTreeMap::new(),
            submitted: 0,
            refused: 0,
            warm: None,
            store_calls_when_warm: 0,
        }
    }

    /// Events to be scheduled, with their times.
    pub fn take_scheduled(&mut self) -> Vec<(u64, ScaleEvent)> {
        std::mem::take(&mut self.scheduled)
    }

    /// What the process used when the warm-up was over.
    pub fn resources_after_warm_up(&self) -> Option<ResourceUse> {
        self.warm
    }

    /// Takes an event.
    pub fn take(&mut self, event: ScaleEvent, now_micros: u64) {
        self.now_micros = now_micros;
        if now_micros > self.end_micros {
            return;
        }
        match event {
            ScaleEvent::Begin => self.begin(),
            ScaleEvent::Starts(node) => self.start(node),
            ScaleEvent::Tick(process) => self.tick(process),
            ScaleEvent::Message {
                to,
                from,
                line,
                wire_bytes,
            } => self.message(to, from, &line, wire_bytes),
            ScaleEvent::StreamFailed { process, to } => {
                self.give(process, ControlEvent::StreamFailed { to });
            }
            ScaleEvent::StoreCalled { process, id, call } => self.store_called(process, id, call),
            ScaleEvent::StoreAnswered {
                process,
                id,
                answer,
            } => self.give(process, ControlEvent::StoreAnswered { id, answer }),
            ScaleEvent::Watched { process, event } => {
                self.meter
                    .count(process.node, ByteKind::ObjectApi, STORE_CALL_BYTES);
                self.give(process, ControlEvent::Watch(event));
            }
            ScaleEvent::RequestEnds {
                process,
                tenant,
                key,
            } => self.request_ends(process, tenant, key),
            ScaleEvent::Load(event) => self.load(event),
            ScaleEvent::WindowEnds => self.end_window(),
            ScaleEvent::WarmUpEnds => self.end_warm_up(),
        }
    }

    /// The report of the run.
    pub fn report(
        &self,
        before: ResourceUse,
        warm: ResourceUse,
        after: ResourceUse,
    ) -> ScaleReport {
        let totals = Totals {
            nodes: self.nodes.len(),
            engines: self.engines,
            seconds: self.end_micros / 1_000_000 - WARM_UP.as_secs(),
            before,
            warm,
            after,
            restarts: &self.restarts,
            refused: self.refused,
            requests: self.request_totals,
            store_calls: self.store.calls() - self.store_calls_when_warm,
            store_watchers: self.store.peak_watchers(),
        };
        ScaleReport::new(&totals, &self.meter, &self.changes, &self.drains)
    }

    fn begin(&mut self) {
        let count = self.nodes.len() as u32;
        for node in 0..self.nodes.len() {
            let at = START_SPREAD * node as u32 / count;
            self.schedule(at, ScaleEvent::Starts(node));
        }
        self.schedule(WARM_UP, ScaleEvent::WarmUpEnds);
        self.schedule(WARM_UP + self.window(), ScaleEvent::WindowEnds);
    }

    fn end_warm_up(&mut self) {
        self.warm = ResourceUse::now().ok();
        self.store_calls_when_warm = self.store.calls();
        self.request_totals = RequestTotals::default();
        self.meter.begin();
        for event in [
            LoadEvent::Change,
            LoadEvent::EngineLeaves,
            LoadEvent::NodeRestarts,
            LoadEvent::NodeFails,
        ] {
            self.schedule_next(event);
        }
        let middle = load::BURST_EVERY / 5;
        self.schedule(middle, ScaleEvent::Load(LoadEvent::Burst));
        self.schedule(middle * 2, ScaleEvent::Load(LoadEvent::RackLeaves));
    }

    fn end_window(&mut self) {
        let nodes = &self.nodes;
        self.meter.end_window(|node| nodes[node].state.is_some());
        self.schedule(self.window(), ScaleEvent::WindowEnds);
    }

    fn window(&self) -> Duration {
        Duration::from_secs(ByteMeter::WINDOW_SECONDS)
    }

    fn start(&mut self, node: usize) {
        let now_millis = self.now_micros / 1_000 + 1;
        let settings = layout::settings(node, self.nodes.len(), now_millis, self.seed);
        self.nodes[node].start(settings, self.now_micros);
        let process = self.nodes[node].process;
        self.give(process, ControlEvent::Started);
        let offset = self.random.random_range(Duration::ZERO..ControlState::TICK);
        self.schedule(offset, ScaleEvent::Tick(process));
    }

    fn stop(&mut self, node: usize) {
        self.nodes[node].stop();
        self.store.end_watch(node);
        self.changes.stopped(node, self.now_micros);
        self.drains.stopped(node, self.now_micros);
    }

    fn tick(&mut self, process: Process) {
        if self.nodes[process.node].runs(process) {
            self.schedule(ControlState::TICK, ScaleEvent::Tick(process));
            self.give(process, ControlEvent::Tick);
            self.take_requests(process);
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.now_micros)
    }

    fn give(&mut self, process: Process, event: ControlEvent) {
        if !self.nodes[process.node].runs(process) {
            return;
        }
        let now = Timestamp::from_micros(self.now_micros);
        let mut actions = Vec::new();
        if let Some(state) = &mut self.nodes[process.node].state {
            state.handle(event, now, &mut actions);
        }
        for action in actions {
            self.carry_out(process, action);
        }
    }

    fn carry_out(&mut self, process: Process, action: ControlAction) {
        match action {
            ControlAction::SendDatagram { to, message } => self.datagram(process, to, &message),
            ControlAction::SendStream { to, message } => self.stream(process, to, &message),
            ControlAction::StoreRequest { id, call } => {
                self.meter
                    .count(process.node, ByteKind::ObjectApi, STORE_CALL_BYTES);
                self.schedule(STORE_DELAY, ScaleEvent::StoreCalled { process, id, call });
            }
            ControlAction::StartWatch { .. } => self.store.watch(process),
            ControlAction::StopWatch { .. } => self.store.end_watch(process.node),
            ControlAction::PublishSnapshot(snapshot) => {
                let version = snapshot.catalog.version;
                if let Some(traffic) = &mut self.nodes[process.node].traffic {
                    traffic.adopt(&snapshot.catalog);
                }
                self.note_version(process.node, version);
                for news in self.drains.waiting() {
                    if snapshot.leaving.contains(&news.0) {
                        self.drains.in_force(&news, process.node, self.now_micros);
                    }
                }
            }
            ControlAction::AnswerOperator { answer, .. } => match answer {
                Ok(accepted) => self.accepted(accepted.version),
                Err(_) => self.refused += 1,
            },
            ControlAction::AnswerClaim { operation, outcome } => {
                self.claim_answered(process, operation, outcome);
            }
            ControlAction::LimitGranted { from, grant } => {
                self.limit_granted(process, &from, &grant);
            }
            ControlAction::EnterPhase(phase) => self.enter(process.node, phase),
            _ => {}
        }
    }

    fn note_version(&mut self, node: usize, version: ConfigVersion) {
        let before = std::mem::replace(&mut self.nodes[node].version, version);
        assert!(version >= before, "versions only rise on a running node");
        for news in self.changes.waiting() {
            if news <= version {
                self.changes.in_force(&news, node, self.now_micros);
            }
        }
    }

    /// A change was told as accepted; from now on the clock runs until it is in force everywhere.
    fn accepted(&mut self, version: ConfigVersion) {
        let without = self
            .serving()
            .filter(|node| self.nodes[*node].version < version)
            .collect();
        self.changes.begin(version, without, self.now_micros);
        self.changes.in_force(&version, usize::MAX, self.now_micros);
    }

    fn enter(&mut self, node: usize, phase: NodePhase) {
        match phase {
            NodePhase::Serving => {
                self.nodes[node].is_serving = true;
                let elapsed = self.now_micros - self.nodes[node].started_micros;
                if self.warm.is_some() {
                    self.restarts.push(elapsed as f64 / 1_000_000.0);
                }
            }
            NodePhase::Stopped => self.stop(node),
            NodePhase::Starting | NodePhase::Draining => {}
        }
    }

    fn schedule(&mut self, after: Duration, event: ScaleEvent) {
        let at = self.now_micros + micros(after);
        if at <= self.end_micros {
            self.scheduled.push((at, event));
        }
    }
}

fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

impl SimState<u64> for HollowCluster {
    fn is_complete(&self, current_time: &u64) -> bool {
        *current_time >= self.end_micros
    }
}
