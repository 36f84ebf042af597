//! Nodes before engines that fall when they have to refuse too many requests.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use ryerouter_core::identity::PoolName;
use ryerouter_gateway::catalogue::{
    CallerLimits, EngineProfile, PoolProfile, RequestKind, Route, RoutingTable,
};
use ryerouter_gateway::engines::EngineEntry;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::peers::run_peer_link;
use tokio::net::UdpSocket;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use super::fleet::introduce;
use super::fragile_engine::{FragilePool, SLOTS, WORK};
use super::gateway_bench::{GatewayBench, gateway_with, list_engines};
use super::records::{POOL, engine, route, tenant};
use super::signalling::settings_of;
use super::test_dialect::{ID, MODEL, PARTS, PATIENCE_MS};

/// How often each node reads the list of engines.
const LIST_INTERVAL: Duration = Duration::from_millis(100);

/// One node.
struct Node {
    bench: Rc<GatewayBench>,
    /// The link to the other nodes; ends with the node.
    link: JoinSet<()>,
    /// Whether its process has ended, with all requests in progress there.
    has_ended: Rc<Cell<bool>>,
}

impl Node {
    async fn start(
        index: usize,
        incarnation: u64,
        table: RoutingTable,
        entries: Vec<EngineEntry>,
    ) -> Self {
        let datagrams = UdpSocket::bind("127.0.0.1:0").await.expect("bind");
        let mut own = settings_of(index);
        own.identity.incarnation = incarnation;
        own.identity.peer_address = datagrams.local_addr().expect("address");
        let bench = GatewayBench::serve(gateway_with(own), Some(table), entries).await;
        let gateway = Rc::clone(&bench.gateway);
        let mut link = JoinSet::new();
        link.spawn_local(run_peer_link(gateway, datagrams));
        Self {
            bench: Rc::new(bench),
            link,
            has_ended: Rc::default(),
        }
    }
}

/// What callers ask for.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Share of what the engines can do.
    pub load: f64,
    /// Whether callers want streams of a model; all prompts share their first part.
    pub is_model: bool,
}

/// How callers fared, by when they asked.
#[derive(Debug, Default)]
pub struct Outcomes(Vec<(Instant, Option<String>)>);

impl Outcomes {
    /// Share of the requests of a time that were served.
    pub fn served(&self, from: Instant, until: Instant) -> f64 {
        let of_time = self.0.iter().filter(|(at, _)| (from..until).contains(at));
        let served = of_time.clone().filter(|(_, refusal)| refusal.is_none());
        served.count() as f64 / of_time.count().max(1) as f64
    }

    /// Numbers of the others by what their callers were told.
    pub fn unserved(&self, from: Instant, until: Instant) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        let of_time = self.0.iter().filter(|(at, _)| (from..until).contains(at));
        for why in of_time.filter_map(|(_, refusal)| refusal.clone()) {
            *counts.entry(why).or_default() += 1;
        }
        counts
    }
}

/// Nodes that know each other, before the same engines.
pub struct FragileNodes {
    nodes: Vec<Node>,
    pub pool: FragilePool,
    pub outcomes: Rc<RefCell<Outcomes>>,
    kind: RequestKind,
    calls: Cell<usize>,
    started: u64,
}

impl FragileNodes {
    pub async fn start(nodes: usize, engines: usize, kind: RequestKind) -> Self {
        let pool = FragilePool::start(engines).await;
        let mut all = Self {
            nodes: Vec::new(),
            pool,
            outcomes: Rc::default(),
            kind,
            calls: Cell::new(0),
            started: 0,
        };
        for index in 0..nodes {
            let node = all.start_node(index).await;
            all.nodes.push(node);
        }
        introduce(&all.gateways());
        all
    }

    async fn start_node(&mut self, index: usize) -> Node {
        self.started += 1;
        let table = table_of(route(self.kind));
        Node::start(index, 10 + self.started, table, self.entries()).await
    }

    /// From now on a node hears no other, and none hears it.
    pub fn cut(&mut self, index: usize) {
        self.nodes[index].link.abort_all();
    }

    /// A node is gone, and a new one takes its place; the others get to know it.
    pub async fn replace(&mut self, index: usize) {
        self.cut(index);
        self.nodes[index].has_ended.set(true);
        self.nodes[index] = self.start_node(index).await;
        let new = &self.nodes[index].bench.gateway;
        for other in self.gateways() {
            new.receive_peer_message(other.peer_message(true));
            other.receive_peer_message(new.peer_message(true));
        }
    }

    /// The first engines say that they are fragile.
    pub fn become_fragile(&self, engines: usize, max_refusals: usize) {
        self.pool.become_fragile(engines, max_refusals);
    }

    pub fn gateways(&self) -> Vec<Rc<Gateway>> {
        let all = self.nodes.iter();
        all.map(|node| Rc::clone(&node.bench.gateway)).collect()
    }

    fn entries(&self) -> Vec<EngineEntry> {
        let listed = self.pool.listed().into_iter();
        let entry = |(name, address): (String, _)| EngineEntry {
            slots: SLOTS as u32,
            ..engine(&name, address, 1)
        };
        listed.map(entry).collect()
    }

    /// Callers ask nodes drawn at random, as often as `demand` says, for a while.
    pub async fn load(&self, demand: Demand, span: Duration) {
        let began = Instant::now();
        let engines = self.pool.listed().len().max(1) as f64;
        let capacity = engines * SLOTS as f64 / WORK.as_secs_f64();
        let mut random = StdRng::seed_from_u64(self.calls.get() as u64 + 7);
        let (mut next_call, mut next_list) = (began, began);
        while began.elapsed() < span {
            if Instant::now() >= next_list {
                next_list += LIST_INTERVAL;
                self.pool.restore().await;
                for node in &self.nodes {
                    list_engines(&node.bench.gateway, self.entries());
                }
            }
            if Instant::now() >= next_call {
                let wait = -random.random::<f64>().max(1e-9).ln() / (capacity * demand.load);
                next_call += Duration::from_secs_f64(wait);
                let index = random.random_range(0..self.nodes.len());
                self.call(index, demand);
            }
            sleep_until(next_call.min(next_list)).await;
        }
    }

    /// Waits until requests under way have ended.
    pub async fn settle(&self) {
        sleep(Duration::from_millis(3_500)).await;
    }

    /// A caller asks a node once.
    pub fn call(&self, index: usize, demand: Demand) {
        let call = self.calls.replace(self.calls.get() + 1);
        let bench = Rc::clone(&self.nodes[index].bench);
        let has_ended = Rc::clone(&self.nodes[index].has_ended);
        let outcomes = Rc::clone(&self.outcomes);
        spawn_local(async move {
            let (id, at) = (format!("r{call}"), Instant::now());
            let parts = format!("shared,own-{call}");
            let mut headers = vec![(ID, id.as_str()), (PATIENCE_MS, "3000")];
            if demand.is_model {
                headers.push((PARTS, &parts));
            }
            let answer = bench.call("POST", &headers, &id).await;
            if has_ended.get() {
                return;
            }
            let is_served = answer.status == StatusCode::OK && answer.body.is_ok();
            let told = answer.body.unwrap_or_else(|error| error);
            let refusal = (!is_served).then(|| format!("{} {told}", answer.status.as_u16()));
            outcomes.borrow_mut().0.push((at, refusal));
        });
    }
}

/// Every engine takes the model's prompts as well as plain requests.
fn table_of(route: Route) -> RoutingTable {
    let is_model = route.kind == RequestKind::Streaming;
    let pool = PoolProfile {
        name: PoolName::new(POOL),
        most_connections: 100,
        engine: is_model.then(|| EngineProfile {
            slots: SLOTS as u32,
            kv_tokens: 100_000,
            kv_token_bytes: 100_000.0,
            link_megabits: 500_000.0,
            models: vec![MODEL.to_owned()],
        }),
    };
    let limits = CallerLimits::default();
    RoutingTable::new(
        1,
        vec![route],
        vec![pool],
        Vec::new(),
        Some(vec![tenant()]),
        limits,
    )
}
