//! Nodes that share a lease of orders and tell each other what they know.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::peers::Datagram;
use ryerouter_gateway::rollout::{PublicationTime, run_rollouts};
use serde_json::Value;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use super::fleet::{introduce, node};
use super::gateway_bench::list_engines;
use super::one_lease::{OneLease, SETTINGS};
use super::partly_reached_engines::{EnginePaths, PartlyReachedEngines};
use super::records::engine;
use super::test_dialect::MODEL;

/// Time between the messages of the nodes.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Fields of messages that the former build doesn't know.
const NEW_FIELDS: [&str; 3] = ["Q", "A", "H"];

/// Nodes that share a lease of orders and tell each other what they know.
pub struct OrderingNodes {
    pub nodes: Vec<Rc<Gateway>>,
    pub lease: Rc<OneLease>,
    pub engines: Rc<PartlyReachedEngines>,
    /// Nodes of the former build.
    former: BTreeSet<usize>,
    /// Nodes whose tasks have ended and whose messages reach nobody.
    silent: RefCell<BTreeSet<usize>>,
    rollouts: RefCell<Vec<JoinHandle<()>>>,
}

impl OrderingNodes {
    /// So many nodes and engines; all engines have weights that run out in a second.
    pub fn start(nodes: usize, count: usize, engines: Rc<PartlyReachedEngines>) -> Rc<Self> {
        Self::start_with_former(nodes, count, engines, [])
    }

    /// The same; these nodes are of the former build.
    pub fn start_with_former(
        nodes: usize,
        count: usize,
        engines: Rc<PartlyReachedEngines>,
        former: impl IntoIterator<Item = usize>,
    ) -> Rc<Self> {
        let nodes: Vec<_> = (0..nodes).map(node).collect();
        introduce(&nodes);
        let ordering = Rc::new(Self {
            nodes,
            lease: Rc::default(),
            engines,
            former: former.into_iter().collect(),
            silent: RefCell::default(),
            rollouts: RefCell::default(),
        });
        ordering.lease.delay.set(Duration::from_millis(5));
        for index in 0..ordering.nodes.len() {
            ordering.start_node(index, count);
        }
        spawn_local(Rc::clone(&ordering).talk());
        ordering
    }

    fn start_node(&self, index: usize, engines: usize) {
        let gateway = &self.nodes[index];
        let entry = |engine_index: usize| {
            let address = format!("127.0.0.1:{}", 1_000 + engine_index);
            let name = PartlyReachedEngines::name(engine_index);
            engine(name.as_str(), address.parse().unwrap(), 1)
        };
        list_engines(gateway, (0..engines).map(entry).collect());
        let named = gateway.clock().now().before(Duration::from_secs(6));
        let at = PublicationTime::Seen(named);
        gateway.state_mut().deadlines.note(MODEL, 2, at);
        let paths = EnginePaths {
            node: index,
            engines: Rc::clone(&self.engines),
        };
        let (gateway, lease) = (Rc::clone(gateway), Rc::clone(&self.lease));
        let rollouts = spawn_local(run_rollouts(gateway, lease, Rc::new(paths), SETTINGS));
        self.rollouts.borrow_mut().push(rollouts);
    }

    /// A node crashes.
    pub fn fall_silent(&self, node: usize) {
        self.rollouts.borrow()[node].abort();
        self.silent.borrow_mut().insert(node);
    }

    /// The nodes that hold the lease of orders, as they believe.
    pub fn holders(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|index| self.nodes[*index].state().gives_orders)
            .collect()
    }

    async fn talk(self: Rc<Self>) {
        loop {
            for index in 0..self.nodes.len() {
                if !self.silent.borrow().contains(&index) {
                    self.tell(index);
                }
            }
            sleep(HEARTBEAT).await;
        }
    }

    fn tell(&self, from: usize) {
        let gateway = &self.nodes[from];
        let message = gateway.peer_message(false);
        let receivers = gateway.peer_receivers(false, &mut rand::rng());
        for (message, receivers) in gateway.messages_for(message, receivers) {
            let datagram = Datagram::Message(Box::new(message));
            let datagram = serde_json::to_value(datagram).expect("datagram");
            for (to, node) in self.nodes.iter().enumerate() {
                if receivers.contains(&node.settings().identity.peer_address) {
                    let is_former = self.former.contains(&from) || self.former.contains(&to);
                    hand_over(node, datagram.clone(), is_former);
                }
            }
        }
    }
}

fn hand_over(to: &Gateway, mut datagram: Value, is_former: bool) {
    if is_former {
        let fields = datagram["m"].as_object_mut().expect("message");
        fields.retain(|name, _| !NEW_FIELDS.contains(&name.as_str()));
    }
    let Datagram::Message(message) = serde_json::from_value(datagram).expect("datagram") else {
        panic!("not a message");
    };
    to.receive_peer_message(*message);
}
