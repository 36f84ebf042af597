//! Nodes with a link of their own to each engine, which talk to each other over loopback.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use ryerouter_core::identity::ZoneName;
use ryerouter_gateway::catalogue::RoutingTable;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::peers::run_peer_link;
use ryerouter_gateway::tunnel::{probe_paths, serve_tunnels};
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep};

use super::engine_proxy::{EngineProxy, Link};
use super::fleet::introduce;
use super::gateway_bench::{GatewayBench, gateway_with};
use super::records::engine;
use super::scripted_engine::ScriptedEngine;
use super::signalling::settings_of;
use super::test_dialect::{ID, PATIENCE_MS};

/// Time between two requests at a node.
const PAUSE: Duration = Duration::from_millis(25);

/// One node.
pub struct LinkedNode {
    pub bench: Rc<GatewayBench>,
    /// Its links to the engines.
    pub links: Vec<Rc<EngineProxy>>,
    /// The link over which other nodes ask it for tunnels.
    pub tunnels: Rc<EngineProxy>,
    calls: Cell<u32>,
    /// Tasks that end with the node.
    _tasks: JoinSet<()>,
}

impl LinkedNode {
    async fn start(index: usize, table: RoutingTable, engines: &[SocketAddr]) -> Self {
        let links: Vec<_> = engines
            .iter()
            .map(|engine| EngineProxy::start(*engine))
            .collect();
        let entry = |(index, link): (usize, &Rc<EngineProxy>)| {
            engine(&format!("e{index}"), link.address, 1)
        };
        let entries = links.iter().enumerate().map(entry).collect();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let tunnels = listener.local_addr().expect("address");
        let (datagrams, tunnels) = bind_both(tunnels).await;
        let mut own = settings_of(index);
        own.identity.zone = ZoneName::new(super::records::ZONE);
        own.identity.peer_address = datagrams.local_addr().expect("address");
        let bench = GatewayBench::serve(gateway_with(own), Some(table), entries).await;
        let gateway = Rc::clone(&bench.gateway);
        let mut tasks = JoinSet::new();
        tasks.spawn_local(run_peer_link(Rc::clone(&gateway), datagrams));
        tasks.spawn_local(serve_tunnels(Rc::clone(&gateway), listener));
        tasks.spawn_local(probe_paths(gateway));
        Self {
            bench: Rc::new(bench),
            links,
            tunnels,
            calls: Cell::new(0),
            _tasks: tasks,
        }
    }

    /// Changes the state of all links to engines.
    pub fn set_links(&self, link: Link) {
        for proxy in &self.links {
            proxy.set(link);
        }
    }

    /// Asks at a steady rate for this time; returns the share of requests that were served.
    pub async fn served_share(self: Rc<Self>, time: Duration) -> f64 {
        let began = Instant::now();
        let mut calls = JoinSet::new();
        while began.elapsed() < time {
            let node = Rc::clone(&self);
            calls.spawn_local(async move { node.call().await });
            sleep(PAUSE).await;
        }
        let outcomes = calls.join_all().await;
        let served = outcomes.iter().filter(|is_served| **is_served);
        served.count() as f64 / outcomes.len() as f64
    }

    /// Sends one request; returns whether it was served.
    pub async fn call(&self) -> bool {
        self.calls.set(self.calls.get() + 1);
        let name = &self.bench.gateway.settings().identity.name;
        let id = format!("{name}-{}", self.calls.get());
        let headers = [(ID, id.as_str()), (PATIENCE_MS, "2000")];
        let answer = self.bench.call("POST", &headers, "body").await;
        answer.status == StatusCode::OK && answer.body.is_ok()
    }
}

/// A datagram socket, and the link to a listener on the same port.
async fn bind_both(listener: SocketAddr) -> (UdpSocket, Rc<EngineProxy>) {
    loop {
        let link = EngineProxy::start(listener);
        if let Ok(datagrams) = UdpSocket::bind(link.address).await {
            return (datagrams, link);
        }
    }
}

/// Nodes that know each other, before the same engines.
pub struct LinkedNodes {
    pub nodes: Vec<Rc<LinkedNode>>,
    pub engines: Vec<Rc<ScriptedEngine>>,
}

impl LinkedNodes {
    /// So many of each.
    pub async fn start(nodes: usize, engines: usize, table: impl Fn() -> RoutingTable) -> Self {
        let mut started = Vec::new();
        let mut addresses = Vec::new();
        for _ in 0..engines {
            let (scripted, address) = ScriptedEngine::start([]).await;
            started.push(scripted);
            addresses.push(address);
        }
        let nodes = Self::start_before(nodes, &addresses, table).await.nodes;
        Self {
            nodes,
            engines: started,
        }
    }

    /// Nodes before engines of the test's own.
    pub async fn start_before(
        nodes: usize,
        engines: &[SocketAddr],
        table: impl Fn() -> RoutingTable,
    ) -> Self {
        let mut linked = Vec::new();
        for index in 0..nodes {
            linked.push(Rc::new(LinkedNode::start(index, table(), engines).await));
        }
        let all = Self {
            nodes: linked,
            engines: Vec::new(),
        };
        introduce(&all.gateways());
        all
    }

    pub fn gateways(&self) -> Vec<Rc<Gateway>> {
        let all = self.nodes.iter();
        all.map(|node| Rc::clone(&node.bench.gateway)).collect()
    }

    /// Callers ask all nodes at the same rate for this time; returns the share served at each.
    pub async fn load(&self, time: Duration) -> Vec<f64> {
        let callers = self.nodes.iter();
        let callers = callers.map(|node| spawn_local(Rc::clone(node).served_share(time)));
        let callers: Vec<_> = callers.collect();
        let mut shares = Vec::new();
        for caller in callers {
            shares.push(caller.await.expect("caller"));
        }
        shares
    }
}
