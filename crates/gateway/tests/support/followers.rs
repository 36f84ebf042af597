//! Nodes that follow one source and tell each other what they know, on a virtual clock.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::engines::{EngineEntry, EngineState};
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::source::{CatalogueSource, FollowSettings, ItemKind, follow, keep_fresh};
use tokio::task::spawn_local;
use tokio::time::{Instant, interval, sleep};

use super::gateway_bench::{gateway_with, settings};
use super::records::engine;
use super::test_dialect::MODEL;
use super::virtual_source::{VirtualSource, Way};

/// Time between the messages of the nodes.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Keys are refused when the configuration was not proven current for so long.
const MOST_UNPROVEN: Duration = Duration::from_millis(4_700);

/// Nodes that follow one source and tell each other what they know.
pub struct Followers {
    pub source: Rc<VirtualSource>,
    pub nodes: Vec<Rc<Gateway>>,
    cut_off: RefCell<BTreeSet<usize>>,
}

impl Followers {
    /// So many nodes; a watch lasts `watch` where the deployment is small.
    pub fn start(count: usize, source: Rc<VirtualSource>, watch: Duration) -> Rc<Self> {
        let followers = Self::prepare(count, source);
        for index in 0..count {
            followers.start_node(index, watch);
        }
        followers
    }

    /// So many nodes, none of which has started.
    pub fn prepare(count: usize, source: Rc<VirtualSource>) -> Rc<Self> {
        let nodes = (0..count).map(|index| {
            let mut own = settings(&format!("node-{index:02}"));
            own.identity.incarnation = index as u64 + 10;
            own.identity.peer_address = peer_address(index);
            own.propagation_limit = Duration::from_secs(2);
            own.max_unconfirmed_age = Some(MOST_UNPROVEN);
            gateway_with(own)
        });
        Rc::new(Self {
            source,
            nodes: nodes.collect(),
            cut_off: RefCell::default(),
        })
    }

    /// From now on no message reaches this node, and none of its own arrives.
    pub fn cut_off(&self, node: usize) {
        self.cut_off.borrow_mut().insert(node);
    }

    /// Messages reach this node again.
    pub fn join(&self, node: usize) {
        self.cut_off.borrow_mut().remove(&node);
    }

    /// Starts a node.
    pub fn start_node(self: &Rc<Self>, index: usize, watch: Duration) {
        let gateway = &self.nodes[index];
        let way: Rc<dyn CatalogueSource> = Rc::new(Way {
            source: Rc::clone(&self.source),
            node: index,
        });
        let how = FollowSettings {
            watch,
            answer: Duration::from_millis(1_500),
            longest_pause: Duration::from_millis(600),
        };
        for kind in [
            ItemKind::Configuration,
            ItemKind::Engines,
            ItemKind::Weights,
        ] {
            let gateway = Rc::clone(gateway);
            spawn_local(follow(gateway, Rc::clone(&way), kind, how.clone()));
        }
        let allowed = gateway.settings().max_configuration_age();
        spawn_local(keep_fresh(Rc::clone(gateway), way, allowed));
        spawn_local(Rc::clone(self).tell(index));
    }

    /// The messages of one node: heartbeats, news that are urgent, questions to a reader.
    async fn tell(self: Rc<Self>, index: usize) {
        let gateway = &self.nodes[index];
        sleep(HEARTBEAT.mul_f64(index as f64 / self.nodes.len() as f64)).await;
        let mut ticks = interval(HEARTBEAT);
        let mut beats = 0;
        loop {
            tokio::select! {
                _ = ticks.tick() => beats += 1,
                () = gateway.peer_send_requested() => {}
            }
            let message = gateway.peer_message(beats % 4 == 0);
            for (other, receiver) in self.nodes.iter().enumerate() {
                if other != index && self.are_connected(index, other) {
                    receiver.receive_peer_message(message.clone());
                }
            }
            gateway.remove_unlisted();
            self.ask_reader(index);
            self.fetch_configuration(index);
        }
    }

    /// Asks for a configuration piece by piece.
    fn fetch_configuration(&self, index: usize) {
        let mut next = self.nodes[index].next_configuration_fetch();
        while let Some((address, fetch)) = next {
            let holder = self.node_at(index, address);
            let chunk = holder.and_then(|holder| holder.answer_configuration_fetch(&fetch));
            next = chunk.and_then(|chunk| self.nodes[index].apply_configuration_chunk(chunk));
        }
    }

    /// The node at an address, if messages of node `index` reach it.
    fn node_at(&self, index: usize, address: SocketAddr) -> Option<&Rc<Gateway>> {
        let other = (0..self.nodes.len()).find(|other| peer_address(*other) == address)?;
        self.are_connected(index, other).then(|| &self.nodes[other])
    }

    fn ask_reader(&self, index: usize) {
        let Some((address, question)) = self.nodes[index].next_question() else {
            return;
        };
        let Some(reader) = self.node_at(index, address) else {
            return;
        };
        let answer = reader.answer_question(&question);
        self.nodes[index].apply_answer(answer);
    }

    fn are_connected(&self, one: usize, other: usize) -> bool {
        let cut_off = self.cut_off.borrow();
        !cut_off.contains(&one) && !cut_off.contains(&other)
    }

    /// Waits until `is_known` holds at all nodes, for `longest` at most; tells how long it took.
    pub async fn until_known(
        &self,
        longest: Duration,
        is_known: impl Fn(&Gateway) -> bool,
    ) -> Option<Duration> {
        let begin = Instant::now();
        while begin.elapsed() < longest {
            if self.nodes.iter().all(|node| is_known(node)) {
                return Some(begin.elapsed());
            }
            sleep(Duration::from_millis(10)).await;
        }
        None
    }
}

fn peer_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16))
}

/// Three engines on their first weights.
pub fn three_engines() -> Vec<EngineEntry> {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    (1..=3)
        .map(|index| engine(&format!("e{index}"), address(index), 1))
        .collect()
}

/// Whether a node knows that an engine leaves or is gone.
pub fn knows_leaving(gateway: &Gateway, name: &str) -> bool {
    let state = gateway.state();
    let engine = state.engines.get(&BackEndName::new(name));
    engine.is_none_or(|engine| engine.entry.state == EngineState::Draining)
}

/// The newest weights that a node has heard of.
pub fn newest_weights(gateway: &Gateway) -> Option<u64> {
    let state = gateway.state();
    let mut newest = state.deadlines.newest();
    newest
        .find(|(model, _)| *model == MODEL)
        .map(|(_, version)| version)
}
