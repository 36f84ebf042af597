//! Engines that can't be reached: how many requests find out, and when the engines are back.

mod support;

use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::catalogue::RequestKind;
use ryerouter_gateway::engines::{Engine, EngineEntry};
use support::gateway_bench::{GatewayBench, list_engines, run};
use support::records::{engine, route, table};
use support::scripted_engine::{ScriptedEngine, Step};
use support::test_dialect::ID;
use support::unanswered_address::UnansweredAddress;
use tokio::task::spawn_local;
use yare::parameterized;

/// Ejections that began so long ago have expired.
const LONG_AGO: Duration = Duration::from_secs(1);
const REQUESTS: usize = 10;

/// One engine that serves, whose slots other nodes have filled, and others that were ejected long ago.
struct Fixture {
    bench: Rc<GatewayBench>,
    serving: Rc<ScriptedEngine>,
    /// Keeps the addresses unanswered.
    _unanswered: Vec<UnansweredAddress>,
}

impl Fixture {
    async fn start(kind: RequestKind, unreachable: usize) -> Self {
        let (serving, address) = ScriptedEngine::start([]).await;
        let mut entries = vec![engine("serving", address, 1)];
        let mut unanswered = Vec::new();
        for index in 0..unreachable {
            let closed = UnansweredAddress::new();
            entries.push(engine(&format!("e{index}"), closed.address, 1));
            unanswered.push(closed);
        }
        let bench = GatewayBench::start(Some(table(1, vec![route(kind)])), entries).await;
        let fixture = Self {
            bench: Rc::new(bench),
            serving,
            _unanswered: unanswered,
        };
        fixture.fill("serving");
        for index in 0..unreachable {
            fixture.eject_long_ago(&format!("e{index}"));
        }
        fixture
    }

    fn change(&self, name: &str, change: impl FnOnce(&mut Engine)) {
        let mut state = self.bench.gateway.state_mut();
        let engine = state.engines.get_mut(&BackEndName::new(name));
        change(engine.expect("engine"));
    }

    fn fill(&self, name: &str) {
        self.change(name, |engine| {
            engine.foreign_load.requests = 2 * engine.entry.slots;
        });
    }

    fn eject_long_ago(&self, name: &str) {
        let now = self.bench.gateway.clock().now();
        self.change(name, |engine| {
            engine.health.unreachable(now.before(LONG_AGO));
        });
    }

    fn is_serving(&self, name: &str) -> bool {
        let state = self.bench.gateway.state();
        let engine = state.engines.get(&BackEndName::new(name));
        engine.expect("engine").health.is_serving()
    }

    fn is_due_for_probe(&self, name: &str) -> bool {
        let now = self.bench.gateway.clock().now();
        let state = self.bench.gateway.state();
        let engine = state.engines.get(&BackEndName::new(name));
        engine.expect("engine").health.is_due_for_probe(now)
    }

    /// Entries of all engines but the one that serves.
    fn unreachable(&self) -> Vec<EngineEntry> {
        let state = self.bench.gateway.state();
        let engines = state.engines.iter();
        let unreachable = engines.filter(|engine| engine.entry.name.as_str() != "serving");
        unreachable.map(|engine| engine.entry.clone()).collect()
    }

    fn unreached(&self) -> u64 {
        let attempts = &self.bench.gateway.metrics().attempts;
        attempts.with_label_values(&["not_connected"]).get()
    }

    async fn call(&self, id: &str) -> StatusCode {
        self.bench.call("GET", &[(ID, id)], "").await.status
    }

    /// Makes requests side by side; each must be served.
    async fn call_together(&self, requests: usize) {
        let calls: Vec<_> = (0..requests)
            .map(|index| {
                let bench = Rc::clone(&self.bench);
                spawn_local(async move {
                    let id = format!("r{index}");
                    bench.call("GET", &[(ID, &id)], "").await.status
                })
            })
            .collect();
        for call in calls {
            assert_eq!(call.await.expect("call"), StatusCode::OK);
        }
    }
}

#[test]
fn request_tries_no_second_engine_that_was_out_of_reach() {
    run(async {
        let fixture = Fixture::start(RequestKind::Safe, 6).await;
        assert_eq!(fixture.call("r").await, StatusCode::OK);
        assert_eq!(fixture.unreached(), 1);
        assert_eq!(fixture.serving.arrivals.borrow().len(), 1);
    });
}

/// The caller can try another node, or come back; nothing is gained by trying all engines until its deadline.
#[test]
fn request_is_refused_soon_when_no_engine_can_be_reached() {
    run(async {
        let fixture = Fixture::start(RequestKind::Safe, 6).await;
        list_engines(&fixture.bench.gateway, fixture.unreachable());
        let answer = fixture.bench.call("GET", &[(ID, "r")], "").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.retry_after.is_some());
        assert_eq!(fixture.unreached(), 3);
    });
}

#[test]
fn one_request_finds_out_whether_an_ejected_engine_can_be_reached() {
    run(async {
        let fixture = Fixture::start(RequestKind::Safe, 1).await;
        fixture.call_together(REQUESTS).await;
        assert_eq!(fixture.unreached(), 1);
        assert_eq!(fixture.serving.arrivals.borrow().len(), REQUESTS);
        assert!(!fixture.is_due_for_probe("e0"));
    });
}

#[parameterized(
    whole_answer = { RequestKind::Safe, Step::Answer(200, "ok") },
    stream_that_goes_on = { RequestKind::Streaming, Step::StallingEvents(&["id: 1\ndata: a\n\n"]) },
)]
fn ejected_engine_serves_again_as_soon_as_it_answers(kind: RequestKind, step: Step) {
    run(async move {
        let fixture = Fixture::start(kind, 0).await;
        fixture.serving.push(step);
        fixture.eject_long_ago("serving");
        let headers = [(ID, "r")];
        let answer = fixture.bench.begin("GET", &headers, "").await;
        assert_eq!(answer.status(), StatusCode::OK);
        assert!(fixture.is_serving("serving"));
    });
}

/// The others must not carry its load for much longer than it was out of reach.
#[test]
fn engine_is_probed_again_soon_however_long_it_was_out_of_reach() {
    run(async {
        let fixture = Fixture::start(RequestKind::Safe, 1).await;
        let now = fixture.bench.gateway.clock().now();
        fixture.change("e0", |engine| {
            for _ in 0..20 {
                engine.health.probe_sent(now);
                engine.health.unreachable(now);
            }
            let until = engine.health.ejected_until().expect("ejected");
            assert!(until.since(now) <= Duration::from_secs(2), "{until:?}");
        });
        assert!(!fixture.is_serving("e0"));
    });
}
