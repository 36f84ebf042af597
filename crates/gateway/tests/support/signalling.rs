//! Nodes before engines that say something of themselves in their answers, under a steady load.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::ZoneName;
use ryerouter_gateway::catalogue::{RequestKind, RoutingTable};
use ryerouter_gateway::gateway::{Gateway, GatewaySettings};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::fleet::{deliver, introduce};
use super::gateway_bench::{CallerAnswer, GatewayBench, settings};
use super::records::{ZONE, engine, route, table};
use super::scripted_engine::ScriptedEngine;
use super::test_dialect::ID;

/// Nodes tell each other what is new so often, and whom they know each twelfth time.
const TICK: Duration = Duration::from_millis(100);
const TICKS_PER_INTRODUCTION: usize = 12;
/// Requests of the load a second.
pub const LOAD: u32 = 40;

/// Nodes that know each other, before the same engines.
pub struct Nodes {
    pub benches: Vec<Rc<GatewayBench>>,
    pub engines: Vec<Rc<ScriptedEngine>>,
    pub answers: Rc<RefCell<Vec<CallerAnswer>>>,
    calls: Cell<usize>,
}

impl Nodes {
    /// So many of each, with a plain pool.
    pub async fn start(nodes: usize, engines: usize) -> Self {
        let mut started = Vec::new();
        let mut entries = Vec::new();
        for index in 0..engines {
            let (scripted, address) = ScriptedEngine::start([]).await;
            started.push(scripted);
            entries.push(engine(&format!("e{index}"), address, 1));
        }
        let mut benches = Vec::new();
        for index in 0..nodes {
            let table = plain_table();
            let bench =
                GatewayBench::start_with(settings_of(index), Some(table), entries.clone()).await;
            benches.push(Rc::new(bench));
        }
        let nodes = Self {
            benches,
            engines: started,
            answers: Rc::default(),
            calls: Cell::new(0),
        };
        introduce(&nodes.gateways());
        nodes
    }

    pub fn gateways(&self) -> Vec<Rc<Gateway>> {
        let all = self.benches.iter();
        all.map(|bench| Rc::clone(&bench.gateway)).collect()
    }

    /// Callers ask the nodes in turn for a while; returns when it began.
    pub async fn load(&self, span: Duration) -> Instant {
        let began = Instant::now();
        let pause = Duration::from_secs(1) / LOAD;
        let mut ticks = 0;
        while began.elapsed() < span {
            self.call_one();
            let due = (began.elapsed().as_millis() / TICK.as_millis()) as usize;
            if due > ticks {
                ticks = due;
                self.tell(ticks.is_multiple_of(TICKS_PER_INTRODUCTION));
            }
            sleep(pause).await;
        }
        began
    }

    fn call_one(&self) {
        let call = self.calls.replace(self.calls.get() + 1);
        let bench = Rc::clone(&self.benches[call % self.benches.len()]);
        let answers = Rc::clone(&self.answers);
        spawn_local(async move {
            let id = format!("r{call}");
            let answer = bench.call("GET", &[(ID, &id)], "").await;
            answers.borrow_mut().push(answer);
        });
    }

    /// Each node tells what it has to tell.
    fn tell(&self, is_full_update: bool) {
        let gateways = self.gateways();
        for from in &gateways {
            deliver(&gateways, from.next_urgent_updates());
            let message = from.peer_message(is_full_update);
            for to in &gateways {
                to.receive_peer_message(message.clone());
            }
        }
    }
}

/// When the requests reached an engine, after a moment.
pub fn arrivals_since(engine: &ScriptedEngine, moment: Instant) -> Vec<Duration> {
    let arrivals = engine.arrivals.borrow();
    let later = arrivals.iter().filter(|arrival| arrival.at >= moment);
    later.map(|arrival| arrival.at - moment).collect()
}

/// Most of them in any span of this length.
pub fn most_within(span: Duration, arrivals: &[Duration]) -> usize {
    let in_span = |first: &Duration| {
        let within = arrivals
            .iter()
            .filter(|at| **at >= *first && **at < *first + span);
        within.count()
    };
    arrivals.iter().map(in_span).max().unwrap_or_default()
}

fn plain_table() -> RoutingTable {
    table(1, vec![route(RequestKind::Safe)])
}

/// Settings of the node of a number; every other one stands in another zone.
pub fn settings_of(index: usize) -> GatewaySettings {
    let mut own = settings(&format!("node-{index:02}"));
    own.identity.incarnation = index as u64 + 10;
    own.identity.zone = ZoneName::new(if index.is_multiple_of(2) {
        ZONE
    } else {
        "zone-b"
    });
    let port = 10_000 + index;
    own.identity.peer_address = format!("127.0.0.1:{port}").parse().expect("address");
    own.identity.caller_address = format!("127.0.0.2:{port}").parse().expect("address");
    own
}
