//! A virtual cluster.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::config::{Change, ChangeAccepted, ChangeRefusal};
use ryerouter_core::control::{
    ControlAction, ControlEvent, ControlSettings, ControlState, ObjectPrefix, OperationId,
    PeerMessage, StoreRequestId, WatchEvent,
};
use ryerouter_core::dispatch::RoutingSnapshot;
use ryerouter_core::identity::{ConfigVersion, Incarnation};
use ryerouter_core::lifecycle::NodePhase;
use ryerouter_core::membership::{ClusterStatus, Member};

use super::ObjectStore;
use super::object_store::unavailable;

pub type ChangeResult = Result<ChangeAccepted, ChangeRefusal>;

const START: Timestamp = Timestamp::from_millis(1_000_000_000);

#[derive(Debug, Clone)]
enum Delivery {
    Tick,
    Peer(SocketAddr, PeerMessage),
    StreamFailed(SocketAddr),
    Store(StoreRequestId, ryerouter_core::control::StoreAnswer),
    Watch(WatchEvent),
}

pub struct VirtualNode {
    pub state: ControlState,
    pub is_up: bool,
    pub paused_until: Timestamp,
    pub snapshot: Arc<RoutingSnapshot>,
    pub phases: Vec<NodePhase>,
    pub reads_machines: bool,
    versions: Vec<ConfigVersion>,
    generation: u64,
}

pub struct VirtualCluster {
    pub nodes: Vec<VirtualNode>,
    pub store: ObjectStore,
    pub now: Timestamp,
    pub loss: f64,
    /// Links that carry nothing, from → to.
    pub cut: BTreeSet<(usize, usize)>,
    /// Nodes that can't reach the object API.
    pub store_cut: BTreeSet<usize>,
    pub answers: BTreeMap<OperationId, ChangeResult>,
    pub statuses: BTreeMap<OperationId, ClusterStatus>,
    /// Length in bytes of the longest datagram.
    pub longest_datagram: usize,
    /// Datagrams so far.
    pub datagrams: u64,
    queue: BTreeMap<(Timestamp, u64), (usize, u64, Delivery)>,
    order: u64,
    operations: u64,
    random: ChaCha8Rng,
}

impl VirtualCluster {
    /// `zones` zones, three to a region, with `nodes_per_zone` nodes each; all started.
    pub fn started(zones: usize, nodes_per_zone: usize, seed: u64) -> Self {
        let mut cluster = Self {
            nodes: Vec::new(),
            store: ObjectStore::default(),
            now: START,
            loss: 0.0,
            cut: BTreeSet::new(),
            store_cut: BTreeSet::new(),
            answers: BTreeMap::new(),
            statuses: BTreeMap::new(),
            longest_datagram: 0,
            datagrams: 0,
            queue: BTreeMap::new(),
            order: 0,
            operations: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..zones * nodes_per_zone {
            let settings = settings(index, index % zones, cluster.now);
            cluster.nodes.push(VirtualNode::new(settings));
        }
        for index in 0..cluster.nodes.len() {
            cluster.boot(index);
        }
        cluster
    }

    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now.after(duration);
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), (node, generation, delivery)) = entry.remove_entry();
            self.now = at;
            self.deliver(node, generation, delivery);
        }
        self.now = end;
    }

    pub fn run_seconds(&mut self, seconds: u64) {
        self.run_for(Duration::from_secs(seconds));
    }

    /// Runs until `reached` holds, at most `limit`; gives how long that took.
    pub fn run_until(
        &mut self,
        limit: Duration,
        reached: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) <= limit {
            if reached(self) {
                return Some(self.now.since(start));
            }
            self.run_for(Duration::from_millis(10));
        }
        None
    }

    /// Gives an event to a node now.
    pub fn give(&mut self, node: usize, event: ControlEvent) {
        let mut actions = Vec::new();
        let now = self.now;
        self.nodes[node].state.handle(event, now, &mut actions);
        self.check_version(node);
        for action in actions {
            self.carry_out(node, action);
        }
    }

    pub fn submit(&mut self, node: usize, change: Change) -> OperationId {
        self.submit_with(node, change, false)
    }

    pub fn submit_with(&mut self, node: usize, change: Change, dry_run: bool) -> OperationId {
        self.operations += 1;
        let operation = OperationId(self.operations);
        self.give(
            node,
            ControlEvent::OperatorChange {
                operation,
                change,
                dry_run,
            },
        );
        operation
    }

    /// Submits a change and runs until it is answered.
    pub fn apply(&mut self, node: usize, change: Change) -> ChangeResult {
        let operation = self.submit(node, change);
        self.run_until(Duration::from_secs(30), |cluster| {
            cluster.answers.contains_key(&operation)
        });
        self.answers[&operation].clone()
    }

    pub fn crash(&mut self, node: usize) {
        self.nodes[node].is_up = false;
        self.nodes[node].generation += 1;
        self.store.stop_watch(node);
    }

    /// Starts a node again, empty.
    pub fn restart(&mut self, node: usize) {
        let mut settings = self.nodes[node].state.settings().clone();
        settings.incarnation = Incarnation(self.now.as_millis());
        let generation = self.nodes[node].generation + 1;
        self.store.stop_watch(node);
        self.nodes[node] = VirtualNode::new(settings);
        self.nodes[node].generation = generation;
        self.boot(node);
    }

    /// A node does nothing for a while; what is sent to it waits.
    pub fn pause(&mut self, node: usize, duration: Duration) {
        self.nodes[node].paused_until = self.now.after(duration);
    }

    /// Cuts all links between two groups.
    pub fn partition(&mut self, left: &[usize], right: &[usize]) {
        for a in left {
            for b in right {
                self.cut.insert((*a, *b));
                self.cut.insert((*b, *a));
            }
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    pub fn compact_watches(&mut self) {
        for node in self.store.compact_watches() {
            let prefix = ObjectPrefix::ConfigLog;
            self.give(node, ControlEvent::Watch(WatchEvent::Compacted { prefix }));
        }
    }

    pub fn up(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|node| self.nodes[*node].is_up)
            .collect()
    }

    pub fn version(&self, node: usize) -> u64 {
        self.nodes[node].snapshot.catalog.version.0
    }

    pub fn all_at(&self, version: u64) -> bool {
        self.up()
            .into_iter()
            .all(|node| self.version(node) == version)
    }

    /// Whether every running node counts exactly the running nodes as live.
    pub fn membership_is_right(&self) -> bool {
        let up = self.up();
        up.iter()
            .all(|node| self.live_at(*node) == up.iter().copied().collect())
    }

    /// Nodes that `node` counts as live, itself among them.
    pub fn live_at(&self, node: usize) -> BTreeSet<usize> {
        let members = self.nodes[node].state.members();
        let others = members.live().map(index_of);
        others.chain(std::iter::once(node)).collect()
    }

    pub fn all_refuse(&self, back_end: &str) -> bool {
        let refuses = |node: usize| self.nodes[node].snapshot.leaving.contains(&back_end.into());
        self.up().into_iter().all(refuses)
    }

    pub fn all_take(&self, back_end: &str) -> bool {
        let refuses = |node: usize| self.nodes[node].snapshot.leaving.contains(&back_end.into());
        !self.up().into_iter().any(refuses)
    }

    pub fn all_serving(&self) -> bool {
        let serves = |node: usize| self.nodes[node].state.phase() == NodePhase::Serving;
        self.up().into_iter().all(serves)
    }

    fn boot(&mut self, node: usize) {
        self.nodes[node].is_up = true;
        self.give(node, ControlEvent::Started);
        let offset = Duration::from_micros(self.random.random_range(0..100_000));
        self.schedule(node, offset, Delivery::Tick);
    }

    fn schedule(&mut self, node: usize, delay: Duration, delivery: Delivery) {
        self.order += 1;
        let generation = self.nodes[node].generation;
        self.queue.insert(
            (self.now.after(delay), self.order),
            (node, generation, delivery),
        );
    }

    fn deliver(&mut self, node: usize, generation: u64, delivery: Delivery) {
        if !self.nodes[node].is_up || self.nodes[node].generation != generation {
            return;
        }
        let paused_until = self.nodes[node].paused_until;
        if self.now < paused_until {
            let wait = paused_until.since(self.now);
            self.schedule(node, wait, delivery);
            return;
        }
        let event = match delivery {
            Delivery::Tick => {
                self.schedule(node, ControlState::TICK, Delivery::Tick);
                self.pump_watches();
                ControlEvent::Tick
            }
            Delivery::Peer(from, message) => ControlEvent::PeerMessageReceived { from, message },
            Delivery::StreamFailed(to) => ControlEvent::StreamFailed { to },
            Delivery::Store(id, answer) => ControlEvent::StoreAnswered { id, answer },
            Delivery::Watch(event) => ControlEvent::Watch(event),
        };
        self.give(node, event);
    }

    fn pump_watches(&mut self) {
        for (node, event) in self.store.pending_events() {
            self.schedule(node, Duration::from_millis(5), Delivery::Watch(event));
        }
    }

    fn carry_out(&mut self, node: usize, action: ControlAction) {
        match action {
            ControlAction::SendDatagram { to, message } => self.datagram(node, to, message),
            ControlAction::SendStream { to, message } => self.stream(node, to, message),
            ControlAction::StoreRequest { id, call } => {
                let is_cut = self.store_cut.contains(&node);
                let answer = if is_cut {
                    unavailable()
                } else {
                    self.store.call(call)
                };
                let wait = if is_cut || self.store.down { 400 } else { 10 };
                self.schedule(
                    node,
                    Duration::from_millis(wait),
                    Delivery::Store(id, answer),
                );
            }
            ControlAction::StartWatch { from, .. } => {
                if let Some(event) = self.store.start_watch(node, from.0) {
                    self.schedule(node, Duration::from_millis(5), Delivery::Watch(event));
                }
            }
            ControlAction::StopWatch { .. } => self.store.stop_watch(node),
            ControlAction::StartMachineList => self.nodes[node].reads_machines = true,
            ControlAction::StopMachineList => self.nodes[node].reads_machines = false,
            ControlAction::PublishSnapshot(snapshot) => self.nodes[node].snapshot = snapshot,
            ControlAction::AnswerOperator { operation, answer } => {
                let earlier = self.answers.insert(operation, answer);
                assert!(earlier.is_none(), "an operation is answered once");
            }
            ControlAction::AnswerClaim { .. } | ControlAction::LimitGranted { .. } => {}
            ControlAction::PollEngine { .. }
            | ControlAction::OrderEngine { .. }
            | ControlAction::MeasureStage { .. } => {}
            ControlAction::AnswerStatus { operation, status } => {
                self.statuses.insert(operation, status);
            }
            ControlAction::EnterPhase(phase) => {
                self.nodes[node].phases.push(phase);
                if phase == NodePhase::Stopped {
                    self.crash(node);
                }
            }
        }
    }

    fn datagram(&mut self, node: usize, to: SocketAddr, message: PeerMessage) {
        let length = serde_json::to_vec(&message).expect("encodes").len();
        self.longest_datagram = self.longest_datagram.max(length);
        self.datagrams += 1;
        let target = node_at(to);
        let lost = self.random.random_bool(self.loss) || self.cut.contains(&(node, target));
        if !lost {
            let from = self.nodes[node].state.settings().address;
            let delay = Duration::from_micros(self.random.random_range(300..3_000));
            self.schedule(target, delay, Delivery::Peer(from, message));
        }
    }

    fn stream(&mut self, node: usize, to: SocketAddr, message: PeerMessage) {
        let target = node_at(to);
        let is_cut = self.cut.contains(&(node, target)) || self.cut.contains(&(target, node));
        if is_cut || !self.nodes[target].is_up {
            self.schedule(node, Duration::from_millis(50), Delivery::StreamFailed(to));
            return;
        }
        let from = self.nodes[node].state.settings().address;
        self.schedule(
            target,
            Duration::from_millis(5),
            Delivery::Peer(from, message),
        );
    }

    fn check_version(&mut self, node: usize) {
        let version = self.nodes[node].state.config_version();
        let versions = &mut self.nodes[node].versions;
        let last = versions.last().copied().unwrap_or_default();
        assert!(version >= last, "versions only rise on a running node");
        if version > last {
            versions.push(version);
        }
    }
}

impl VirtualNode {
    fn new(settings: ControlSettings) -> Self {
        Self {
            state: ControlState::new(settings),
            is_up: false,
            paused_until: Timestamp::ZERO,
            snapshot: Arc::default(),
            phases: Vec::new(),
            reads_machines: false,
            versions: Vec::new(),
            generation: 0,
        }
    }
}

fn settings(index: usize, zone: usize, now: Timestamp) -> ControlSettings {
    ControlSettings {
        name: format!("node-{index:03}").as_str().into(),
        incarnation: Incarnation(now.as_millis()),
        address: address(index),
        region: format!("region-{}", zone / 3).as_str().into(),
        data_centre: format!("dc-{}", zone / 3).as_str().into(),
        zone: format!("zone-{zone}").as_str().into(),
        seeds: (0..3).map(address).collect(),
        // These tests count versions; the roster of claim keepers would be one more change.
        may_direct: false,
        seed: index as u64 + 1,
    }
}

pub fn address(index: usize) -> SocketAddr {
    ([10, 0, (index / 250) as u8, (index % 250) as u8], 7000).into()
}

fn node_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("addresses of virtual nodes are version 4");
    };
    let octets = address.ip().octets();
    usize::from(octets[2]) * 250 + usize::from(octets[3])
}

fn index_of(member: &Member) -> usize {
    node_at(member.record.address)
}
