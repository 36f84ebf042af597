//! A simulated cluster under one policy.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::DispatchAction;
use ryerouter_core::identity::{AttemptId, Incarnation, RequestId};
use xxhash_rust::xxh3::Xxh3;

use super::attempt_state::AttemptState;
use super::cluster_event::ClusterEvent;
use super::cluster_router::ClusterRouter;
use super::deployment::{Deployment, Site};
use super::measurements::Measurements;
use super::open_request::OpenRequest;
use super::simulated_engine::SimulatedEngine;
use super::simulated_service::SimulatedService;
use crate::engine_model::{EngineEvent, EngineModel, EngineOutput, EngineProfile};
use crate::scenario::Scenario;
use crate::workload::Workload;

/// How long the run goes on after the last arrival, for what is still under way.
const RUN_OUT: Duration = Duration::from_secs(60);

/// A simulated cluster under one policy.
pub(super) struct SimulatedCluster {
    pub(super) scenario: Arc<Scenario>,
    pub(super) workload: Arc<Workload>,
    pub(super) deployment: Arc<Deployment>,
    pub(super) router: Box<dyn ClusterRouter>,
    pub(super) engines: Vec<SimulatedEngine>,
    pub(super) services: Vec<SimulatedService>,
    pub(super) attempts: HashMap<AttemptId, AttemptState>,
    pub(super) open: BTreeMap<RequestId, OpenRequest>,
    pub(super) waiting_at_node: Vec<u32>,
    pub(super) tick_scheduled: Vec<bool>,
    pub(super) network: ChaCha8Rng,
    pub(super) scheduled: Vec<(Timestamp, ClusterEvent)>,
    pub(super) arrived: usize,
    pub(super) actions: Vec<DispatchAction>,
    pub(super) outputs: Vec<EngineOutput>,
    /// What is measured.
    pub(super) measurements: Measurements,
    pub(super) trace: Xxh3,
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
    pub(super) fn new(
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
    pub(super) fn take_scheduled(&mut self) -> Vec<(Timestamp, ClusterEvent)> {
        std::mem::take(&mut self.scheduled)
    }

    /// Hash of everything that happened.
    pub(super) fn trace_hash(&self) -> u64 {
        self.trace.digest()
    }

    /// Length of the run over which engines' work is measured.
    pub(super) fn measured_duration(&self) -> Duration {
        self.scenario.duration() - self.scenario.warm_up()
    }

    /// Engines in the cluster.
    pub(super) fn engine_count(&self) -> usize {
        self.engines.len()
    }

    /// Speed and sizes of each engine.
    pub(super) fn engine_profile(&self) -> &EngineProfile {
        &self.scenario.engine
    }

    /// Lets an event happen.
    pub(super) fn handle(&mut self, event: ClusterEvent, now: Timestamp) {
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

    pub(super) fn schedule(&mut self, at: Timestamp, event: ClusterEvent) {
        self.scheduled.push((at, event));
    }

    pub(super) fn delay(&mut self, node: usize, back_end: usize) -> Duration {
        let delay = self.delay_without_jitter(node, back_end);
        let jitter = self.scenario.network.jitter_permille;
        let permille = self.network.random_range(0..=jitter);
        delay + delay * permille / PERMILLE
    }

    pub(super) fn delay_without_jitter(&self, node: usize, back_end: usize) -> Duration {
        let Site { zone, .. } = &self.deployment.nodes[node];
        let same_zone = *zone == self.deployment.site(back_end).zone;
        self.scenario.network.one_way(same_zone)
    }

    pub(super) fn note_trace(&mut self, now: Timestamp, subject: u64, what: u64) {
        for number in [now.as_micros(), subject, what] {
            self.trace.update(&number.to_le_bytes());
        }
    }
}

/// Thousandths in a whole.
pub(super) const PERMILLE: u32 = 1_000;
