//! Requests that wait in an engine when the deadline of its weights passes.

mod support;

use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::catalogue::{RequestKind, Route};
use ryerouter_gateway::gateway::GatewaySettings;
use ryerouter_gateway::rollout::PublicationTime;
use support::gateway_bench::{
    CallerAnswer, GatewayBench, gateway_with, list_engines, run, settings,
};
use support::records::{engine, model_table, route};
use support::scripted_engine::{ScriptedEngine, Step};
use support::test_dialect::{ID, MODEL, PARTS};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};
use yare::parameterized;

/// How long older weights may be used.
const GRACE: Duration = Duration::from_millis(1_000);
/// An attempt that is given up at the deadline ends well before this time.
const SOON: Duration = Duration::from_secs(3);
/// An answer that comes after the deadline.
const AFTER_DEADLINE: Duration = Duration::from_millis(1_250);

const EVENTS: &[&str] = &["id: 1\ndata: a\n\n"];

/// A gateway before an engine with the weights 1, which a request waits in.
struct Fixture {
    bench: Rc<GatewayBench>,
    outdated: Rc<ScriptedEngine>,
    current: Rc<ScriptedEngine>,
    waiting: JoinHandle<CallerAnswer>,
}

impl Fixture {
    /// Sends the request, publishes the weights 2, and lists an engine that has them.
    async fn start(route: Route, step: Step) -> Self {
        let (outdated, outdated_address) = ScriptedEngine::start([step]).await;
        let (current, current_address) = ScriptedEngine::start([Step::Events(EVENTS)]).await;
        let settings = GatewaySettings {
            weights_grace: GRACE,
            ..settings("node-1")
        };
        let entry = engine("e1", outdated_address, 1);
        let table = Some(model_table(vec![route]));
        let gateway = gateway_with(settings);
        let bench = GatewayBench::serve(gateway, table, vec![entry.clone()]).await;
        let bench = Rc::new(bench);
        let caller = Rc::clone(&bench);
        let waiting =
            spawn_local(async move { caller.call("GET", &[(ID, "r"), (PARTS, "a")], "").await });
        outdated.until_arrived(1).await;
        let gateway = &bench.gateway;
        let published = PublicationTime::Seen(gateway.clock().now());
        gateway.state_mut().deadlines.note(MODEL, 2, published);
        list_engines(gateway, vec![entry, engine("e2", current_address, 2)]);
        Self {
            bench,
            outdated,
            current,
            waiting,
        }
    }

    async fn answer(self) -> CallerAnswer {
        let answer = timeout(SOON, self.waiting).await.expect("soon");
        answer.expect("answer")
    }
}

#[parameterized(
    may_be_repeated = { true, 2, StatusCode::OK, 1 },
    no_attempt_left = { true, 1, StatusCode::BAD_GATEWAY, 0 },
    must_not_repeat = { false, 2, StatusCode::BAD_GATEWAY, 0 },
)]
fn request_that_waits_in_an_engine_does_not_begin_on_replaced_weights_after_their_deadline(
    is_resumable: bool,
    max_attempts: u32,
    status: StatusCode,
    sent_again: usize,
) {
    run(async move {
        let mut route = route(RequestKind::Streaming);
        route.is_resumable = is_resumable;
        route.max_attempts = max_attempts;
        let fixture = Fixture::start(route, Step::Silence).await;
        let outdated = Rc::clone(&fixture.outdated);
        let current = Rc::clone(&fixture.current);
        let answer = fixture.answer().await;
        assert_eq!(answer.status, status);
        // A request that may have run is not announced as safe to send again.
        assert_eq!(answer.retry_after, None);
        outdated.until_abandoned().await;
        assert_eq!(outdated.arrivals.borrow().len(), 1);
        assert_eq!(current.arrivals.borrow().len(), sent_again);
    });
}

#[test]
fn request_waits_on_in_an_engine_that_has_loaded_the_newer_weights() {
    run(async {
        let step = Step::LateEvents(AFTER_DEADLINE, EVENTS);
        let fixture = Fixture::start(route(RequestKind::Streaming), step).await;
        sleep(GRACE / 2).await;
        let name = BackEndName::new("e1");
        fixture.bench.gateway.note_weights(&name, MODEL, 2);
        let current = Rc::clone(&fixture.current);
        let answer = fixture.answer().await;
        assert_eq!(answer.body.as_deref(), Ok(EVENTS[0]));
        assert_eq!(current.arrivals.borrow().len(), 0);
    });
}

#[test]
fn request_waits_on_when_trouble_of_the_source_extends_the_deadline() {
    run(async {
        let step = Step::LateEvents(AFTER_DEADLINE, EVENTS);
        let fixture = Fixture::start(route(RequestKind::Streaming), step).await;
        sleep(GRACE / 2).await;
        let gateway = &fixture.bench.gateway;
        let now = gateway.clock().now();
        gateway.state_mut().deadlines.extend_from(now);
        let current = Rc::clone(&fixture.current);
        let answer = fixture.answer().await;
        assert_eq!(answer.body.as_deref(), Ok(EVENTS[0]));
        assert_eq!(current.arrivals.borrow().len(), 0);
    });
}

/// Its head comes with its end, so it may have started long before.
#[test]
fn request_whose_answer_is_no_stream_is_not_cut_off_at_the_deadline() {
    run(async {
        let step = Step::Late(AFTER_DEADLINE);
        let fixture = Fixture::start(route(RequestKind::Safe), step).await;
        let current = Rc::clone(&fixture.current);
        let answer = fixture.answer().await;
        assert_eq!(answer.body.as_deref(), Ok("late"));
        assert_eq!(current.arrivals.borrow().len(), 0);
    });
}
