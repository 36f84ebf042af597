//! Requests whose connection falls silent; see docs/design/accounting.md.

mod support;

use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Collected};
use hyper::StatusCode;
use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::catalogue::RequestKind;
use ryerouter_gateway::engines::TimeEstimate;
use ryerouter_gateway::retry::{RetrySettings, RetryWindow};
use support::gateway_bench::{CallerAnswer, GatewayBench, run};
use support::records::{engine, route, table};
use support::scripted_engine::{ScriptedEngine, Step};
use support::test_dialect::{AFTER, ID};
use tokio::task::{JoinHandle, spawn_local, yield_now};
use yare::parameterized;

/// Answers that are seen before a test: more than are needed to know how long they take.
const WARM_UP: usize = 40;
/// The route's limit: what is answered by then but not sooner was held in vain.
const TIMEOUT: Duration = Duration::from_secs(6);
/// A test that gives silence up ends well before the limit.
const SOON: Duration = Duration::from_secs(3);
/// Calls until each engine was surely chosen.
const MOST_CALLS: usize = 40;
const EVENTS: Step = Step::Events(&["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"]);
const STALLS: Step = Step::StallingEvents(&["id: 1\ndata: a\n\n"]);

struct Fixture {
    bench: Rc<GatewayBench>,
    engines: Vec<Rc<ScriptedEngine>>,
}

impl Fixture {
    /// So many engines, each of which has answered `usual` many times.
    async fn start(kind: RequestKind, attempts: u32, engines: usize, usual: &Step) -> Self {
        let mut running = Vec::new();
        let mut entries = Vec::new();
        for name in ["e1", "e2"].iter().take(engines) {
            let (running_engine, address) = ScriptedEngine::start([]).await;
            running.push(running_engine);
            entries.push(engine(name, address, 1));
        }
        let mut route = route(kind);
        route.timeout = TIMEOUT;
        route.max_attempts = attempts;
        let bench = GatewayBench::start(Some(table(1, vec![route])), entries).await;
        let fixture = Self {
            bench: Rc::new(bench),
            engines: running,
        };
        for index in 0..WARM_UP {
            fixture
                .engines
                .iter()
                .for_each(|engine| engine.replace_steps(usual.clone()));
            let answer = fixture.call(&format!("warm-{index}")).await;
            assert_eq!(answer.status, StatusCode::OK);
        }
        fixture
            .engines
            .iter()
            .for_each(|engine| engine.clear_steps());
        fixture
    }

    async fn call(&self, id: &str) -> CallerAnswer {
        self.bench.call("GET", &[(ID, id)], "").await
    }

    /// Begins a call that goes on by itself.
    fn call_meanwhile(&self, id: &'static str) -> JoinHandle<CallerAnswer> {
        let bench = Rc::clone(&self.bench);
        spawn_local(async move { bench.call("GET", &[(ID, id)], "").await })
    }

    /// An engine failed a request, and its ejection has expired since.
    fn eject_long_ago(&self, name: &str) {
        let now = self.bench.gateway.clock().now();
        let mut state = self.bench.gateway.state_mut();
        let engine = state.engines.get_mut(&BackEndName::new(name));
        let health = &mut engine.expect("engine").health;
        health.unreachable(now.before(Duration::from_secs(1)));
    }

    fn arrivals(&self) -> usize {
        let arrived = |engine: &Rc<ScriptedEngine>| engine.arrivals.borrow().len();
        self.engines.iter().map(arrived).sum()
    }
}

#[test]
fn repeatable_request_on_a_kept_connection_that_is_silent_goes_elsewhere() {
    run(async {
        let ok = Step::Answer(200, "ok");
        let fixture = Fixture::start(RequestKind::Safe, 2, 2, &ok).await;
        fixture.engines[0].push(Step::Silence);
        for index in 0..MOST_CALLS {
            let id = format!("r{index}");
            let call = fixture.call(&id);
            let answer = tokio::time::timeout(SOON, call).await.expect("soon");
            assert_eq!(answer.status, StatusCode::OK);
        }
        assert_eq!(fixture.engines[0].abandoned.get(), 1);
    });
}

/// While there is little to do an engine that has failed is not tried, since the other one costs less.
#[test]
fn silent_request_goes_to_an_engine_whose_ejection_is_over() {
    run(async {
        let ok = Step::Answer(200, "ok");
        let fixture = Fixture::start(RequestKind::Safe, 2, 2, &ok).await;
        fixture.eject_long_ago("e2");
        fixture.engines[0].push(Step::Silence);
        let call = tokio::time::timeout(SOON, fixture.call("r")).await;
        assert_eq!(call.expect("soon").status, StatusCode::OK);
        assert_eq!(fixture.engines[0].abandoned.get(), 1);
    });
}

#[test]
fn repeatable_request_goes_to_the_only_engine_on_a_new_connection_when_that_answers_others() {
    run(async {
        let ok = Step::Answer(200, "ok");
        let fixture = Fixture::start(RequestKind::Safe, 2, 1, &ok).await;
        fixture.engines[0].push(Step::Silence);
        let silent = fixture.call_meanwhile("silent");
        fixture.engines[0].until_arrived(WARM_UP + 1).await;
        assert_eq!(fixture.call("later").await.status, StatusCode::OK);
        let answer = tokio::time::timeout(SOON, silent).await.expect("soon");
        assert_eq!(answer.expect("answer").status, StatusCode::OK);
        assert_eq!(fixture.engines[0].abandoned.get(), 1);
        assert_eq!(fixture.arrivals(), WARM_UP + 3);
    });
}

/// An answer that comes late is delivered: nothing tells that the connection is dead, or nothing may
/// be sent again.
#[parameterized(
    must_not_repeat = { RequestKind::Unsafe, 2, true },
    no_attempt_left = { RequestKind::Safe, 1, true },
    nothing_else_answers = { RequestKind::Safe, 2, false },
)]
fn late_answer_is_waited_for(kind: RequestKind, attempts: u32, is_another_answered: bool) {
    run(async move {
        let ok = Step::Answer(200, "ok");
        let fixture = Fixture::start(kind, attempts, 1, &ok).await;
        fixture.engines[0].push(Step::Late(Duration::from_millis(900)));
        let late = fixture.call_meanwhile("late");
        fixture.engines[0].until_arrived(WARM_UP + 1).await;
        if is_another_answered {
            assert_eq!(fixture.call("later").await.status, StatusCode::OK);
        }
        let answer = late.await.expect("answer");
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.body.as_deref(), Ok("late"));
        assert_eq!(
            fixture.arrivals(),
            WARM_UP + 1 + usize::from(is_another_answered)
        );
    });
}

#[test]
fn resumable_stream_whose_connection_falls_silent_goes_on_after_the_last_event() {
    run(async {
        let fixture = Fixture::start(RequestKind::Streaming, 2, 1, &EVENTS).await;
        let engine = &fixture.engines[0];
        engine.push(STALLS);
        engine.push(EVENTS);
        engine.push(Step::Events(&["id: 2\ndata: b\n\n"]));
        let stalled = fixture.bench.begin("GET", &[(ID, "stalled")], "").await;
        let mut body = stalled.into_body();
        let first = body.frame().await.expect("event").expect("event");
        assert_eq!(first.into_data().expect("data"), "id: 1\ndata: a\n\n");
        // The wait for the second event begins, and then another is answered.
        let rest = spawn_local(async move { body.collect().await.map(Collected::to_bytes) });
        yield_now().await;
        assert!(fixture.call("later").await.body.is_ok());
        let rest = tokio::time::timeout(SOON, rest).await.expect("soon");
        assert_eq!(rest.expect("task").expect("body"), "id: 2\ndata: b\n\n");
        let last = engine.arrivals.borrow().last().cloned().expect("arrival");
        assert_eq!(last.header(AFTER).as_deref(), Some("1"));
    });
}

#[test]
fn estimate_needs_values_and_keeps_above_what_is_usual() {
    let mut estimate = TimeEstimate::first(Duration::from_millis(100));
    assert!(!estimate.is_ready());
    for index in 1..15 {
        estimate.note(Duration::from_millis(100 + 10 * (index % 3)));
        assert!(!estimate.is_ready());
    }
    estimate.note(Duration::from_millis(100));
    assert!(estimate.is_ready());
    let longest = estimate.max_with_later_answers();
    assert!(longest >= Duration::from_millis(250), "{longest:?}");
    assert!(estimate.max_without_answers() > longest);
    let before = estimate.max_without_answers();
    estimate.note(Duration::from_secs(2));
    assert!(estimate.max_without_answers() > before);
}

#[test]
fn attempts_that_may_only_be_slow_leave_half_of_the_budget() {
    let settings = RetrySettings::default();
    let now = Timestamp::from_micros(1_000_000);
    let mut window = RetryWindow::default();
    (0..100).for_each(|_| window.count_request(&settings, now));
    let spare = (0..100)
        .filter(|_| window.spend_speculative(&settings, 1, now))
        .count();
    let rest = (0..100).filter(|_| window.spend(&settings, 1, now)).count();
    // 0.8 of a floor of 10 and a fifth of 100 requests.
    assert_eq!((spare, rest), (12, 12));
}
