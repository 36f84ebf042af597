//! A whole cluster on a virtual clock.

use std::collections::BTreeMap;
use std::time::Duration;

use desque::SimState;
use desque::serial::{Event, Simulation};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::catalog::BackEndState;
use ryerouter_core::identity::{IdempotencyKey, TenantName};

use super::{
    BackEndProcess, ClusterEvent, ClusterLayout, ClusterSettings, Endpoint, Mutation, Network,
    NetworkConditions, Platform, ProcessId, RouterProcess, RunCounters, Submission, TraceHash,
};
use crate::oracle::{Observation, Oracle, OracleLimits};

/// Time without new requests or faults at the end of a run, so that what is overdue shows.
const REST: Duration = Duration::from_secs(45);
/// What clocks show at the start of a run, in microseconds.
const EPOCH_US: u64 = 1_700_000_000_000_000;
/// Attempts an engine runs at once.
const ENGINE_CAPACITY: usize = 16;
/// Attempts a plain service runs at once.
const SERVICE_CAPACITY: usize = 64;

/// A whole cluster: router processes with the real decisions, and around them simulated sockets,
/// back ends, platform, callers and operators.
pub struct Cluster {
    pub(super) settings: ClusterSettings,
    pub(super) layout: ClusterLayout,
    pub(super) now_us: u64,
    /// Events from this time on wait for the next step.
    pub(super) pause_at_us: u64,
    pub(super) random: ChaCha8Rng,
    pub(super) network: Network,
    pub(super) platform: Platform,
    pub(super) nodes: Vec<RouterProcess>,
    pub(super) back_ends: Vec<BackEndProcess>,
    pub(super) submissions: BTreeMap<u64, Submission>,
    pub(super) next_submission: u64,
    pub(super) next_change: u64,
    /// Keys of submissions whose callers have left, while their claims are open.
    pub(super) left_keys: BTreeMap<u64, (TenantName, IdempotencyKey)>,
    /// Back ends whose drain or return was sent to a node and is not yet answered, by number of the
    /// change.
    pub(super) unanswered_states: BTreeMap<u64, (usize, BackEndState)>,
    /// Version of the newest accepted return of each back end.
    pub(super) returned_at: BTreeMap<usize, u64>,
    /// Whether a poor network holds orders back.
    pub(super) network_is_poor: bool,
    /// Weights that the newest change of them asks for.
    pub(super) wanted_weights: u64,
    /// Makes the shared parts of prompts other ones after a shift.
    pub(super) prefix_epoch: u64,
    pub(super) counters: RunCounters,
    oracle: Oracle,
    trace: TraceHash,
    scheduled: Vec<(u64, ClusterEvent)>,
}

impl Cluster {
    /// A cluster that has not started.
    pub fn new(settings: ClusterSettings) -> Self {
        let layout = ClusterLayout::new(settings.clone());
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        let network_random = ChaCha8Rng::from_rng(&mut random);
        let network = Network::new(
            NetworkConditions::default(),
            layout.locations(),
            network_random,
        );
        let nodes = (0..settings.nodes).map(RouterProcess::new).collect();
        let back_ends = (0..settings.engines + settings.services)
            .map(|index| new_back_end(&settings, &layout, index))
            .collect();
        Self {
            layout,
            now_us: 0,
            pause_at_us: u64::MAX,
            random,
            network,
            platform: Platform::default(),
            nodes,
            back_ends,
            submissions: BTreeMap::new(),
            next_submission: 1,
            next_change: 1,
            left_keys: BTreeMap::new(),
            unanswered_states: BTreeMap::new(),
            returned_at: BTreeMap::new(),
            network_is_poor: false,
            wanted_weights: 1,
            prefix_epoch: 0,
            counters: RunCounters::default(),
            oracle: Oracle::new(OracleLimits::default()),
            trace: TraceHash::default(),
            scheduled: Vec::new(),
            settings,
        }
    }

    /// Time of the last event, in microseconds.
    pub fn now_us(&self) -> u64 {
        self.now_us
    }

    /// What the run counted.
    pub fn counters(&self) -> &RunCounters {
        &self.counters
    }

    /// What the oracle found.
    pub fn oracle(&self) -> &Oracle {
        &self.oracle
    }

    /// Hash of everything that happened.
    pub fn trace_hash(&self) -> u64 {
        self.trace.value()
    }

    /// End of new requests and faults, in microseconds.
    pub(super) fn load_ends_us(&self) -> u64 {
        self.settings.duration.as_micros() as u64
    }

    fn run_ends_us(&self) -> u64 {
        self.load_ends_us() + REST.as_micros() as u64
    }

    /// The right time, by the clocks of callers and operators.
    pub(super) fn now(&self) -> Timestamp {
        Timestamp::from_micros(EPOCH_US + self.now_us)
    }

    /// The time by the clock of a router process.
    pub(super) fn clock_of(&self, node: usize) -> Timestamp {
        let ahead_us = self.nodes[node].clock_ahead_us;
        Timestamp::from_micros((EPOCH_US + self.now_us).saturating_add_signed(ahead_us))
    }

    pub(super) fn has_mutation(&self, mutation: Mutation) -> bool {
        self.settings.mutation == Some(mutation)
    }

    pub(super) fn observe(&mut self, observation: Observation) {
        self.trace
            .add(self.now_us, format!("{observation:?}").as_bytes());
        self.oracle.observe(self.now_us, &observation);
    }

    pub(super) fn check_overdue(&mut self) {
        self.oracle.check_overdue(self.now_us);
        self.schedule(Duration::from_secs(5), ClusterEvent::CheckOverdue);
    }

    pub(super) fn schedule(&mut self, after: Duration, event: ClusterEvent) {
        self.scheduled
            .push((self.now_us + after.as_micros() as u64, event));
    }

    /// A duration with the given mean, exponentially distributed.
    pub(super) fn exponential(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        mean.mul_f64(-uniform.ln())
    }

    /// The process, if that start of it still runs.
    pub(super) fn is_running(&self, process: ProcessId) -> bool {
        let node = &self.nodes[process.node];
        node.start == process.start && node.running.is_some()
    }

    /// Takes an event, or holds it until the paused process it is for goes on.
    pub(super) fn take(&mut self, event: ClusterEvent) {
        if let Some(node) = event.receiving_node()
            && self.nodes[node].paused_until_us.is_some()
        {
            self.nodes[node].held.push(event);
            return;
        }
        if event
            .process()
            .is_some_and(|process| !self.is_running(process))
        {
            return;
        }
        self.carry_out(event);
    }

    fn carry_out(&mut self, event: ClusterEvent) {
        use ClusterEvent as Event;
        match event {
            Event::NodeStarts { node } => self.start_node(node),
            Event::ControlTick(process) => self.control_tick(process),
            Event::DispatchTick(process) => self.dispatch_tick(process),
            Event::Datagram { to, from, line } => self.take_peer_line(to, from, &line),
            Event::StreamMessage { to, from, line } => self.take_stream(to, from, &line),
            Event::StreamFailed { process, to } => self.stream_failed(process, to),
            Event::StoreCalled { process, id, call } => self.store_called(process, id, &call),
            Event::StoreAnswered {
                process,
                id,
                answer,
            } => {
                self.store_answered(process, id, answer);
            }
            Event::WatchStarted {
                process,
                prefix,
                from,
            } => {
                self.watch_started(process, prefix, from.0);
            }
            Event::Watched { process, event } => self.watched(process, event),
            Event::MachineListDue(process) => self.machine_list_due(process),
            Event::MachineListRead { process, machines } => {
                self.machine_list_read(process, machines);
            }
            Event::NextRequest => self.next_request(),
            Event::Submit { submission } => self.submit(submission),
            Event::CallerLeaves { submission } => self.caller_leaves(submission),
            Event::AttemptArrives { process, call } => self.attempt_arrives(process, *call),
            Event::AttemptNotRun {
                process,
                attempt,
                reason,
                observation,
            } => {
                self.attempt_not_run(process, attempt, reason, observation);
            }
            Event::HeadArrives {
                process,
                attempt,
                observation,
            } => {
                self.head_arrives(process, attempt, observation);
            }
            Event::ChunkArrives {
                process,
                attempt,
                index,
                answers,
            } => {
                self.chunk_arrives(process, attempt, index, answers);
            }
            Event::EndArrives {
                process,
                attempt,
                observation,
            } => {
                self.end_arrives(process, attempt, observation);
            }
            Event::ConnectionBreaks {
                process,
                attempt,
                silent_since_chunk,
            } => {
                self.connection_breaks(process, attempt, silent_since_chunk);
            }
            Event::ChunkDue {
                back_end,
                incarnation,
                attempt,
            } => {
                self.chunk_due(back_end, incarnation, attempt);
            }
            Event::CancelArrives { back_end, attempt } => self.cancel_arrives(back_end, attempt),
            Event::ConnectionClosed { back_end, attempt } => {
                self.connection_closed(back_end, attempt);
            }
            Event::ResumeWindowEnds {
                back_end,
                incarnation,
                attempt,
            } => {
                self.resume_window_ends(back_end, incarnation, attempt);
            }
            Event::BackEndStarts { back_end } => self.start_back_end(back_end),
            Event::NodeResumes { node } => self.resume_node(node),
            Event::EngineReported {
                process,
                back_end,
                report,
            } => self.engine_reported(process, back_end, report),
            Event::OrderArrives {
                process,
                back_end,
                order,
            } => self.order_arrives(process, back_end, &order),
            Event::OrderAnswered {
                process,
                back_end,
                answer,
            } => self.order_answered(process, back_end, answer),
            Event::WeightsLoaded {
                back_end,
                incarnation,
                weights_version,
            } => self.weights_loaded(back_end, incarnation, weights_version),
            Event::PlannedStopDue { back_end } => self.planned_stop_due(back_end),
            Event::FirstChange => self.send_first_change(0),
            Event::OperatorActs => self.operator_acts(),
            Event::FaultBegins(fault) => self.begin_fault(fault),
            Event::FaultEnds(fault) => self.end_fault(fault),
            Event::CheckOverdue => self.check_overdue(),
        }
    }
}

fn new_back_end(
    settings: &ClusterSettings,
    layout: &ClusterLayout,
    index: usize,
) -> BackEndProcess {
    let name = layout.back_end_name(index);
    if index < settings.engines {
        BackEndProcess::new(name, 1, ENGINE_CAPACITY)
    } else {
        BackEndProcess::new(name, 0, SERVICE_CAPACITY)
    }
}

impl SimState<u64> for Cluster {
    fn is_complete(&self, current_time: &u64) -> bool {
        *current_time >= self.run_ends_us().min(self.pause_at_us)
    }
}

impl Event<Cluster, u64> for ClusterEvent {
    fn execute(&mut self, simulation: &mut Simulation<Cluster, u64>) -> desque::Result {
        let now_us = *simulation.current_time();
        let event = std::mem::replace(self, ClusterEvent::CheckOverdue);
        let cluster = simulation.state_mut();
        cluster.now_us = now_us;
        cluster.take(event);
        for (at_us, event) in std::mem::take(&mut cluster.scheduled) {
            simulation.schedule(event, at_us)?;
        }
        Ok(())
    }
}

/// The endpoint of a node.
pub(super) fn node_endpoint(process: ProcessId) -> Endpoint {
    Endpoint::Node(process.node)
}
