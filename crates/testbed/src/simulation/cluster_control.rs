//! Router processes' control state in the simulation.

use std::time::Duration;

use rand::Rng;
use ryerouter_core::catalog::BackEndState;
use ryerouter_core::control::{
    ControlAction, ControlEvent, ControlSettings, ControlState, PeerMessage,
};
use ryerouter_core::dispatch::{DispatchEvent, Dispatcher, RoutingSnapshot};
use ryerouter_core::identity::{Incarnation, NodeName};
use ryerouter_core::lifecycle::NodePhase;
use ryerouter_core::limit::LimitSettings;
use xxhash_rust::xxh3::xxh3_64;

use super::cluster::node_endpoint;
use super::{
    Cluster, ClusterEvent, ClusterLayout, Endpoint, Mutation, ProcessId, RouterProcess,
    RunningProcess,
};
use crate::oracle::Observation;

/// Time after which an undeliverable message over a stream is reported to its sender.
const STREAM_TIMEOUT: Duration = Duration::from_secs(1);
/// How far the clock of a process may be wrong either way, in microseconds.
const MOST_SKEW_US: i64 = 800_000;
/// Time between ticks of a dispatcher.
const DISPATCH_TICK: Duration = Duration::from_millis(50);

impl Cluster {
    pub(super) fn start_node(&mut self, node: usize) {
        if self.nodes[node].running.is_some() {
            return;
        }
        let seed = self.random.random();
        self.nodes[node].start += 1;
        self.nodes[node].clock_ahead_us = self.random.random_range(-MOST_SKEW_US..=MOST_SKEW_US);
        let mut running = RunningProcess::new(self.control_settings(node, seed), seed);
        if !self.has_mutation(Mutation::LimitNotEnforced) {
            let name = NodeName::new(ClusterLayout::node_name(node));
            let settings = LimitSettings::default();
            let clock = self.clock_of(node);
            running.dispatcher.limit_tenants(name, clock, settings);
        }
        self.nodes[node].running = Some(running);
        let process = ProcessId {
            node,
            start: self.nodes[node].start,
        };
        let can_learn = self.someone_can_teach(node);
        let name = ClusterLayout::node_name(node);
        if can_learn {
            self.observe(Observation::NodeStarted { node: name });
        }
        self.control(process, ControlEvent::Started);
        self.schedule(Duration::ZERO, ClusterEvent::ControlTick(process));
        self.schedule(DISPATCH_TICK, ClusterEvent::DispatchTick(process));
    }

    /// Whether a process that starts can learn the configuration from a peer or the platform.
    pub(super) fn someone_can_teach(&self, node: usize) -> bool {
        if self.counters.changes_accepted == 0 {
            return false;
        }
        let own = Endpoint::Node(node);
        let reaches = |other| self.network.passes(own, other) && self.network.passes(other, own);
        let peer_can = self.nodes.iter().enumerate().any(|(peer, process)| {
            let is_ready = process
                .running
                .as_ref()
                .is_some_and(|running| running.ready);
            is_ready && reaches(Endpoint::Node(peer)) && process.paused_until_us.is_none()
        });
        let healthy = self.platform.mode == super::StoreMode::Healthy;
        peer_can || (healthy && reaches(Endpoint::Platform))
    }

    fn control_settings(&self, node: usize, seed: u64) -> ControlSettings {
        let location = self.layout.location(node);
        ControlSettings {
            name: ClusterLayout::node_name(node).as_str().into(),
            incarnation: Incarnation(self.clock_of(node).as_millis()),
            address: ClusterLayout::node_address(node),
            region: ClusterLayout::region_name(location).as_str().into(),
            data_centre: ClusterLayout::data_centre_name(location).as_str().into(),
            zone: ClusterLayout::zone_name(location).as_str().into(),
            seeds: (0..self.settings.nodes)
                .filter(|peer| *peer != node)
                .map(ClusterLayout::node_address)
                .collect(),
            may_direct: true,
            seed,
        }
    }

    pub(super) fn control_tick(&mut self, process: ProcessId) {
        self.control(process, ControlEvent::Tick);
        self.schedule(ControlState::TICK, ClusterEvent::ControlTick(process));
    }

    pub(super) fn dispatch_tick(&mut self, process: ProcessId) {
        self.dispatch(process, DispatchEvent::Tick);
        self.schedule(DISPATCH_TICK, ClusterEvent::DispatchTick(process));
    }

    /// Feeds an event to the control state and carries out what it wants.
    pub(super) fn control(&mut self, process: ProcessId, event: ControlEvent) {
        let now = self.clock_of(process.node);
        let Some(running) = self.running(process) else {
            return;
        };
        let mut actions = Vec::new();
        running.control.handle(event, now, &mut actions);
        for action in actions {
            self.carry_out_control(process, action);
        }
    }

    fn carry_out_control(&mut self, process: ProcessId, action: ControlAction) {
        match action {
            ControlAction::SendDatagram { to, message } => {
                self.send_datagram(process, to, &message);
            }
            ControlAction::SendStream { to, message } => self.send_stream(process, to, &message),
            ControlAction::StoreRequest { id, call } => self.call_store(process, id, call),
            ControlAction::StartWatch { prefix, from } => self.start_watch(process, prefix, from),
            ControlAction::StopWatch { prefix } => self.stop_watch(process, prefix),
            ControlAction::StartMachineList => self.set_machine_list(process, true),
            ControlAction::StopMachineList => self.set_machine_list(process, false),
            ControlAction::PublishSnapshot(snapshot) => self.publish(process, &snapshot),
            ControlAction::AnswerOperator { operation, answer } => {
                self.operator_answered(operation, answer.ok());
            }
            ControlAction::AnswerStatus { .. } => {}
            ControlAction::AnswerClaim { operation, outcome } => {
                self.claim_answered(process, operation, outcome);
            }
            ControlAction::LimitGranted { from, grant } => {
                self.dispatch(process, DispatchEvent::LimitGranted { from, grant });
            }
            ControlAction::PollEngine { address, .. } => self.poll_engine(process, address),
            ControlAction::OrderEngine {
                address,
                order,
                valid_until,
                ..
            } => self.order_engine(process, address, order, valid_until),
            // The simulated configuration has no stages.
            ControlAction::MeasureStage { .. } => {}
            ControlAction::EnterPhase(phase) => self.enter_phase(process, phase),
        }
    }

    fn send_datagram(
        &mut self,
        process: ProcessId,
        to: std::net::SocketAddr,
        message: &PeerMessage,
    ) {
        let Some(receiver) = self.peer_at(to) else {
            return;
        };
        if self.drops_configuration(message) {
            return;
        }
        let line = serde_json::to_string(message).expect("messages encode");
        for delay in self
            .network
            .datagram(node_endpoint(process), Endpoint::Node(receiver))
        {
            let from = process.node;
            let event = ClusterEvent::Datagram {
                to: receiver,
                from,
                line: line.clone(),
            };
            self.schedule(delay, event);
        }
    }

    fn send_stream(&mut self, process: ProcessId, to: std::net::SocketAddr, message: &PeerMessage) {
        let Some(receiver) = self.peer_at(to) else {
            return;
        };
        if self.drops_configuration(message) {
            return;
        }
        let line = serde_json::to_string(message).expect("messages encode");
        match self
            .network
            .stream(node_endpoint(process), Endpoint::Node(receiver))
        {
            Some(delay) => {
                let event = ClusterEvent::StreamMessage {
                    to: receiver,
                    from: process,
                    line,
                };
                self.schedule(delay, event);
            }
            None => {
                let event = ClusterEvent::StreamFailed {
                    process,
                    to: receiver,
                };
                self.schedule(STREAM_TIMEOUT, event);
            }
        }
    }

    fn peer_at(&self, address: std::net::SocketAddr) -> Option<usize> {
        ClusterLayout::node_at(address).filter(|peer| *peer < self.settings.nodes)
    }

    fn drops_configuration(&self, message: &PeerMessage) -> bool {
        self.has_mutation(Mutation::ConfigurationNotSpread)
            && matches!(message, PeerMessage::Config(_))
            && self.now_us > self.load_ends_us() / 4
    }

    pub(super) fn take_peer_line(&mut self, to: usize, from: usize, line: &str) {
        if self.nodes[to].running.is_none() {
            return;
        }
        let message = serde_json::from_str(line).expect("messages decode");
        let process = ProcessId {
            node: to,
            start: self.nodes[to].start,
        };
        let from = ClusterLayout::node_address(from);
        self.control(process, ControlEvent::PeerMessageReceived { from, message });
    }

    pub(super) fn take_stream(&mut self, to: usize, from: ProcessId, line: &str) {
        if self.nodes[to].running.is_none() {
            let delay = self.network.stream(Endpoint::Node(to), node_endpoint(from));
            let event = ClusterEvent::StreamFailed { process: from, to };
            self.schedule(delay.unwrap_or(STREAM_TIMEOUT), event);
            return;
        }
        self.take_peer_line(to, from.node, line);
    }

    pub(super) fn stream_failed(&mut self, process: ProcessId, to: usize) {
        let to = ClusterLayout::node_address(to);
        self.control(process, ControlEvent::StreamFailed { to });
    }

    fn publish(&mut self, process: ProcessId, snapshot: &RoutingSnapshot) {
        let mut snapshot = snapshot.clone();
        if self.has_mutation(Mutation::DrainNoticeDropped) {
            forget_leaving(&mut snapshot);
        }
        let version = snapshot.catalog.version.0;
        if version > 0 {
            let text = serde_json::to_string(&snapshot.catalog).expect("catalogs encode");
            let digest = xxh3_64(text.as_bytes());
            let node = ClusterLayout::node_name(process.node);
            let shown =
                if self.has_mutation(Mutation::SnapshotReverts) && self.random.random_bool(0.1) {
                    version.saturating_sub(1)
                } else {
                    version
                };
            self.observe(Observation::VersionInForce {
                node,
                version: shown,
                digest,
            });
        }
        let event = DispatchEvent::SnapshotPublished(std::sync::Arc::new(snapshot));
        self.dispatch(process, event);
    }

    fn enter_phase(&mut self, process: ProcessId, phase: NodePhase) {
        let node = ClusterLayout::node_name(process.node);
        match phase {
            NodePhase::Serving if self.waits_for_platform() => {}
            NodePhase::Serving => {
                if let Some(running) = self.running(process) {
                    running.ready = true;
                }
                self.observe(Observation::NodeReady { node });
            }
            NodePhase::Stopped => {
                self.end_process(process.node);
                let away = Duration::from_secs(2);
                self.schedule(away, ClusterEvent::NodeStarts { node: process.node });
            }
            NodePhase::Starting | NodePhase::Draining => {}
        }
    }

    /// The mistake of a process that serves only once it has heard from the platform.
    fn waits_for_platform(&self) -> bool {
        self.has_mutation(Mutation::ReadyNeedsStore) && !self.platform.is_up()
    }

    /// The state of a process, if that start of it still runs.
    pub(super) fn running(&mut self, process: ProcessId) -> Option<&mut RunningProcess> {
        let node = &mut self.nodes[process.node];
        if node.start != process.start {
            return None;
        }
        node.running.as_mut()
    }
}

impl RouterProcess {
    /// A process that has not started.
    pub fn new(node: usize) -> Self {
        Self {
            name: ClusterLayout::node_name(node),
            address: ClusterLayout::node_address(node),
            start: 0,
            running: None,
            clock_ahead_us: 0,
            paused_until_us: None,
            held: Vec::new(),
        }
    }
}

impl RunningProcess {
    /// A process at its start.
    pub fn new(settings: ControlSettings, seed: u64) -> Self {
        let dispatcher = Dispatcher::new(settings.data_centre.clone(), settings.zone.clone(), seed);
        Self {
            control: ControlState::new(settings),
            dispatcher,
            submissions: Default::default(),
            attempts: Default::default(),
            watches: Default::default(),
            reads_machine_list: false,
            ready: false,
            stopping: false,
        }
    }
}

/// Makes a snapshot say that every back end takes new work.
fn forget_leaving(snapshot: &mut RoutingSnapshot) {
    snapshot.leaving.clear();
    let catalog = std::sync::Arc::make_mut(&mut snapshot.catalog);
    for back_end in catalog.back_ends.values_mut() {
        back_end.state = BackEndState::Active;
    }
}
