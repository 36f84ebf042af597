//! Nodes that may give orders under one lease, on a virtual clock.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ryerouter_core::Timestamp;
use ryerouter_core::control::{StoreAnswer, StoreCall};
use ryerouter_core::identity::{BackEndName, FencingNumber};
use ryerouter_core::order::LeaseSettings;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::rollout::{
    EngineOrders, EngineReport, OrderOutcome, PublicationTime, WeightsOrder, run_rollouts,
};
use ryerouter_gateway::source::LeaseStore;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use super::fleet;
use super::freezer::Freezer;
use super::one_lease::{OneLease, SETTINGS};
use super::test_dialect::MODEL;

/// Time between messages of a node.
const HEARTBEAT: Duration = Duration::from_millis(200);
/// How long an answer of the store takes.
const STORE_DELAY: Duration = Duration::from_millis(5);

/// A call on its way, and where the answer goes.
type SentCall = (StoreCall, oneshot::Sender<StoreAnswer>);

/// The way of one node to the store, which carries calls out even while the node stands still.
struct CountedLease {
    sent: UnboundedSender<SentCall>,
    calls: Cell<usize>,
}

impl LeaseStore for CountedLease {
    fn call(&self, call: StoreCall) -> LocalBoxFuture<'_, StoreAnswer> {
        self.calls.set(self.calls.get() + 1);
        let (answer, answered) = oneshot::channel();
        self.sent.send((call, answer)).expect("store");
        async { answered.await.expect("answer") }.boxed_local()
    }
}

async fn serve_store(store: Rc<OneLease>, mut calls: UnboundedReceiver<SentCall>) {
    while let Some((call, answer)) = calls.recv().await {
        let _ = answer.send(store.call(call).await);
    }
}

/// Engines that reject every order.
#[derive(Default)]
struct RejectingEngines {
    /// When each was ordered, under which number.
    orders: RefCell<Vec<(Timestamp, FencingNumber)>>,
}

/// The way of one node to the engines.
struct EngineWay {
    gateway: Rc<Gateway>,
    engines: Rc<RejectingEngines>,
}

impl EngineOrders for EngineWay {
    fn order(
        &self,
        _address: SocketAddr,
        _order: WeightsOrder,
        fence: FencingNumber,
    ) -> LocalBoxFuture<'_, OrderOutcome> {
        let now = self.gateway.clock().now();
        self.engines.orders.borrow_mut().push((now, fence));
        async { OrderOutcome::Rejected }.boxed_local()
    }

    fn report(
        &self,
        _engine: BackEndName,
        _address: SocketAddr,
    ) -> LocalBoxFuture<'_, Option<EngineReport>> {
        async { Some(EngineReport::default()) }.boxed_local()
    }
}

/// A node, whose rollouts may be stopped or stand still.
pub struct OrderingNode {
    pub gateway: Rc<Gateway>,
    pub is_frozen: Rc<Cell<bool>>,
    lease: Rc<CountedLease>,
    rollouts: JoinHandle<()>,
}

impl OrderingNode {
    /// Calls to the store so far.
    pub fn calls(&self) -> usize {
        self.lease.calls.get()
    }

    /// The task that gives orders ends, and nothing else.
    pub fn stop_rollouts(&self) {
        self.rollouts.abort();
    }

    /// The node learns that a version was named so long ago.
    pub fn name_weights(&self, version: u64, ago: Duration) {
        let named = self.gateway.clock().now().before(ago);
        let mut state = self.gateway.state_mut();
        let named = PublicationTime::Seen(named);
        state.deadlines.note(MODEL, version, named);
    }
}

/// Nodes that may give orders under one lease.
pub struct OrderingFleet {
    pub nodes: Vec<OrderingNode>,
    engines: Rc<RejectingEngines>,
}

impl OrderingFleet {
    /// So many nodes, which have heard of each other and know one engine.
    pub fn start(nodes: usize) -> Self {
        let store = Rc::new(OneLease::default());
        store.delay.set(STORE_DELAY);
        let engines = Rc::new(RejectingEngines::default());
        let gateways: Vec<_> = (0..nodes).map(fleet::node).collect();
        fleet::introduce(&gateways);
        let node = |gateway: Rc<Gateway>| start_node(gateway, &store, &engines, SETTINGS);
        Self {
            nodes: gateways.into_iter().map(node).collect(),
            engines,
        }
    }

    /// Lets time pass, in which nodes that don't stand still hear each other.
    pub async fn run(&self, duration: Duration) {
        for _ in 0..duration.as_millis() / HEARTBEAT.as_millis() {
            sleep(HEARTBEAT).await;
            self.exchange();
        }
    }

    fn exchange(&self) {
        let live = |node: &&OrderingNode| !node.is_frozen.get();
        for from in self.nodes.iter().filter(live) {
            let message = from.gateway.peer_message(false);
            for to in self.nodes.iter().filter(live) {
                to.gateway.receive_peer_message(message.clone());
            }
        }
    }

    /// The node that holds the lease.
    pub fn holder(&self) -> Option<usize> {
        let holds = |node: &OrderingNode| node.gateway.valid_order_fence().is_some();
        self.nodes.iter().position(holds)
    }

    /// Orders so far.
    pub fn orders(&self) -> usize {
        self.engines.orders.borrow().len()
    }

    /// The engine has this version, as all nodes know.
    pub fn note_weights(&self, version: u64) {
        let engine = BackEndName::new("e1");
        for node in &self.nodes {
            node.gateway.note_weights(&engine, MODEL, version);
        }
    }

    /// The longest time without orders since the first one, up to now.
    pub fn longest_pause(&self) -> Duration {
        let now = self.nodes[0].gateway.clock().now();
        let orders = self.engines.orders.borrow();
        let times: Vec<_> = orders.iter().map(|(at, _)| *at).chain([now]).collect();
        let pauses = times.windows(2).map(|pair| pair[1].since(pair[0]));
        pauses.max().unwrap_or_default()
    }

    /// The shortest time between orders under different numbers.
    pub fn shortest_handover(&self) -> Option<Duration> {
        let orders = self.engines.orders.borrow();
        let pairs = orders.windows(2);
        let handovers = pairs.filter(|pair| pair[0].1 != pair[1].1);
        handovers.map(|pair| pair[1].0.since(pair[0].0)).min()
    }
}

fn start_node(
    gateway: Rc<Gateway>,
    store: &Rc<OneLease>,
    engines: &Rc<RejectingEngines>,
    settings: LeaseSettings,
) -> OrderingNode {
    let (sent, calls) = unbounded_channel();
    spawn_local(serve_store(Rc::clone(store), calls));
    let lease = Rc::new(CountedLease {
        sent,
        calls: Cell::default(),
    });
    let orders = Rc::new(EngineWay {
        gateway: Rc::clone(&gateway),
        engines: Rc::clone(engines),
    });
    let freezer = Freezer::default();
    let is_frozen = freezer.switch();
    let own = Rc::clone(&gateway);
    freezer.spawn(run_rollouts(own, lease.clone(), orders, settings));
    OrderingNode {
        gateway,
        is_frozen,
        lease,
        rollouts: spawn_local(freezer.run()),
    }
}
