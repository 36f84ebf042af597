//! Nodes before engines that a certain request ends.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use ryerouter_core::poison::Digest;
use ryerouter_gateway::catalogue::{RequestKind, Route};
use ryerouter_gateway::engines::{EngineEntry, EngineState};
use ryerouter_gateway::gateway::Gateway;
use tokio::time::sleep;

use super::crashing_engine::CrashingPool;
use super::fleet::{deliver, introduce};
use super::gateway_bench::{CallerAnswer, GatewayBench, list_engines};
use super::poison_records::PoisonRecords;
use super::records::{engine, route, table};
use super::signalling::settings_of;
use super::test_dialect::{ID, PARTS};

/// A caller comes back so soon.
pub const PAUSE: Duration = Duration::from_millis(60);
const ENGINES: usize = 4;

/// Nodes that know each other, before the same engines.
pub struct Nodes {
    pub benches: Vec<GatewayBench>,
    pub pool: CrashingPool,
    route: Route,
    calls: Cell<usize>,
}

impl Nodes {
    /// So many nodes before four engines.
    pub async fn start(kind: RequestKind, count: usize, is_resumable: bool) -> Self {
        Self::start_before(ENGINES, kind, count, is_resumable).await
    }

    /// The same before so many engines.
    pub async fn start_before(
        engines: usize,
        kind: RequestKind,
        count: usize,
        is_resumable: bool,
    ) -> Self {
        // Another deployment than one before it in the same test.
        PoisonRecords::of_test().clear();
        let mut route = route(kind);
        route.is_resumable = is_resumable;
        let mut nodes = Self {
            benches: Vec::new(),
            pool: CrashingPool::start(engines).await,
            route,
            calls: Cell::new(0),
        };
        nodes.start_nodes(count).await;
        nodes
    }

    /// What stands for the request that is held back.
    pub fn blocked(&self) -> Digest {
        let state = self.benches[0].gateway.state();
        let blocked = state.poison.blocked().next();
        blocked.expect("a request that is held back")
    }

    /// All nodes are killed at once, and as many started.
    pub async fn kill_all(&mut self) {
        let count = self.benches.len();
        self.benches.clear();
        self.start_nodes(count).await;
    }

    async fn start_nodes(&mut self, count: usize) {
        for index in 0..count {
            let table = table(1, vec![self.route.clone()]);
            let own = settings_of(index);
            let bench = GatewayBench::start_with(own, Some(table), Vec::new()).await;
            self.benches.push(bench);
        }
        introduce(&self.gateways());
        self.list();
    }

    /// The nodes.
    pub fn gateways(&self) -> Vec<Rc<Gateway>> {
        let all = self.benches.iter();
        all.map(|bench| Rc::clone(&bench.gateway)).collect()
    }

    /// Every node reads the list, which names engines that run.
    pub fn list(&self) {
        self.list_as(EngineState::Ready);
    }

    /// Every node reads the list, which says this of them.
    pub fn list_as(&self, state: EngineState) {
        let engines = self.pool.addresses();
        let entry = |(name, address): (&String, &SocketAddr)| EngineEntry {
            state,
            ..engine(name, *address, 1)
        };
        let entries: Vec<_> = engines.iter().map(entry).collect();
        for bench in &self.benches {
            list_engines(&bench.gateway, entries.clone());
        }
    }

    /// A caller asks a node with a prompt of these parts and one of its own; then the same.
    pub async fn call_with_parts(&self, index: usize, parts: &str) -> CallerAnswer {
        self.calls.set(self.calls.get() + 1);
        let id = format!("r{}", self.calls.get());
        let parts = format!("{parts},own-{id}");
        let headers = [(ID, id.as_str()), (PARTS, parts.as_str())];
        let answer = self.benches[index].call("POST", &headers, &id).await;
        self.tell(false);
        sleep(PAUSE).await;
        self.pool.restore().await;
        self.list();
        answer
    }

    /// A caller asks a node; then engines that have ended are back, under other names, and the nodes have told
    /// each other what is new.
    pub async fn call_at(&self, index: usize, body: &str) -> CallerAnswer {
        self.calls.set(self.calls.get() + 1);
        let id = format!("r{}", self.calls.get());
        let answer = self.benches[index].call("POST", &[(ID, &id)], body).await;
        self.tell(false);
        sleep(PAUSE).await;
        self.pool.restore().await;
        self.list();
        answer
    }

    /// Each node tells what it has to tell.
    pub fn tell(&self, is_full_update: bool) {
        let gateways = self.gateways();
        for from in &gateways {
            deliver(&gateways, from.next_urgent_updates());
            if !is_full_update && gateways.len() > 10 {
                continue;
            }
            let message = from.peer_message(is_full_update);
            for to in &gateways {
                to.receive_peer_message(message.clone());
            }
        }
    }
}

/// Whether a caller was told that the request is held back.
pub fn is_held_back(answer: &CallerAnswer) -> bool {
    let waits = answer.retry_after.is_some_and(|seconds| seconds > 1.0);
    answer.status == StatusCode::SERVICE_UNAVAILABLE && waits
}
