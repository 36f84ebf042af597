//! Connections that go silent for good while new ones work.

mod support;

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::clock::Clock;
use ryerouter_gateway::telemetry::Metrics;
use ryerouter_gateway::upstream::{
    CallError, CallTerms, ConnectSettings, ConnectionUse, JsonCaller, Upstream, UpstreamAnswer,
};
use slog::{Discard, Logger, o};
use support::silencing_server::{HELD_PATH, SilencingServer};
use support::virtual_time;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, advance, pause, resume, sleep, timeout};
use yare::parameterized;

/// Limit of a call that is to be answered much sooner.
const LIMIT: Duration = Duration::from_secs(5);
/// Within this a call is through although all kept connections are silent.
const ALLOWED: Duration = Duration::from_millis(600);
/// Longest run of a test.
const TEST_LIMIT: Duration = Duration::from_secs(20);
/// On virtual time, what was received just before a silence is older than what is sent into it.
const BRIEFLY: Duration = Duration::from_millis(1);
/// Calls made at once, so that so many connections are kept.
const KEPT: usize = 4;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, in_time(test));
}

fn run_in_virtual_time(test: impl Future<Output = ()>) {
    virtual_time::run(in_time(test));
}

async fn in_time(test: impl Future<Output = ()>) {
    let result = timeout(TEST_LIMIT, test).await;
    result.expect("test ends in time");
}

/// A caller with what it shares and counts.
struct Bench {
    caller: Rc<JsonCaller>,
    upstream: Upstream,
    clock: Clock,
    metrics: Rc<Metrics>,
}

impl Bench {
    fn new() -> Self {
        let clock = Clock::start();
        let upstream = Upstream::new(ConnectSettings::default(), clock);
        let metrics = Rc::new(Metrics::new());
        let caller = JsonCaller::sharing(
            ConnectSettings::default(),
            clock,
            Rc::clone(upstream.silence()),
            Logger::root(Discard, o!()),
            Rc::clone(&metrics),
        );
        Self {
            caller: Rc::new(caller),
            upstream,
            clock,
            metrics,
        }
    }

    /// Connections that seemed silent, with this verdict.
    fn silences(&self, verdict: &str) -> u64 {
        self.metrics.silences.with_label_values(&[verdict]).get()
    }

    async fn call(&self, address: SocketAddr, method: Method) -> Result<(), CallError> {
        let terms = match method {
            Method::GET => CallTerms::repeatable(LIMIT),
            _ => CallTerms::once(LIMIT),
        };
        let path = match method {
            Method::GET => "/state",
            _ => "/order",
        };
        call(&self.caller, address, method, path, terms).await
    }

    /// Opens a watch.
    fn watch(&self, address: SocketAddr) -> JoinHandle<Result<(), CallError>> {
        let caller = Rc::clone(&self.caller);
        let terms = CallTerms::repeatable(LIMIT * 2).held_for(LIMIT);
        spawn_local(async move { call(&caller, address, Method::GET, HELD_PATH, terms).await })
    }

    /// Leaves so many idle connections.
    async fn keep_connections(&self, address: SocketAddr, count: usize) {
        let calls = (0..count).map(|_| self.call(address, Method::GET));
        for answer in join_all(calls).await {
            answer.expect("answer");
        }
    }

    /// Leaves so many idle connections to an engine.
    async fn keep_engine_connections(&self, engine: &BackEndName, address: SocketAddr, count: u32) {
        let requests = (0..count).map(|_| self.request(engine, address, true));
        for answer in join_all(requests).await {
            answer.body.collect().await.expect("body");
            self.upstream.keep(engine, answer.connection, None);
        }
    }

    async fn request(
        &self,
        engine: &BackEndName,
        address: SocketAddr,
        is_repeatable: bool,
    ) -> UpstreamAnswer {
        let request = Request::new(Full::default());
        let answer = self
            .upstream
            .send(engine, address, request, is_repeatable, &Cell::default())
            .await;
        answer.expect("answer")
    }
}

async fn call(
    caller: &JsonCaller,
    address: SocketAddr,
    method: Method,
    path: &str,
    terms: CallTerms,
) -> Result<(), CallError> {
    let request = Request::builder().method(method).uri(path);
    let request = request.body(Full::default()).expect("request");
    caller.call(address, request, terms).await.map(drop)
}

#[test]
fn repeatable_call_is_answered_although_kept_connections_are_silent() {
    run(async {
        let (server, address) = SilencingServer::start().await;
        let bench = Bench::new();
        bench.keep_connections(address, KEPT).await;
        server.silence();
        let began = Instant::now();
        for _ in 0..KEPT + 1 {
            let answer = bench.call(address, Method::GET).await;
            answer.expect("answer");
        }
        assert!(began.elapsed() < ALLOWED, "{:?}", began.elapsed());
    });
}

#[test]
fn call_that_must_not_repeat_ends_early_and_its_retry_is_answered() {
    run(async {
        let (server, address) = SilencingServer::start().await;
        let bench = Bench::new();
        bench.keep_connections(address, KEPT).await;
        server.silence();
        let began = Instant::now();
        let first = bench.call(address, Method::POST).await;
        assert!(first.is_err());
        let second = bench.call(address, Method::POST).await;
        second.expect("answer");
        assert!(began.elapsed() < ALLOWED, "{:?}", began.elapsed());
        let arrivals = server.arrivals.borrow();
        let orders = arrivals.iter().filter(|call| call.line == "post /order");
        assert_eq!(orders.count(), 2, "sent once for each call");
    });
}

#[test]
fn held_call_ends_once_another_shows_that_its_connection_is_silent() {
    run(async {
        let (server, address) = SilencingServer::start().await;
        let bench = Bench::new();
        bench.keep_connections(address, 2).await;
        let watch = bench.watch(address);
        server.until_arrived(3).await;
        server.silence();
        let began = Instant::now();
        bench.call(address, Method::GET).await.expect("answer");
        let ended = watch.await.expect("watch");
        assert!(ended.is_err());
        assert!(began.elapsed() < ALLOWED, "{:?}", began.elapsed());
    });
}

/// Its owner is to ask at once in another way.
#[test]
fn held_call_without_time_to_be_held_again_is_not_repeated() {
    run_in_virtual_time(async {
        let (server, address) = SilencingServer::start().await;
        let bench = Bench::new();
        bench.keep_connections(address, KEPT).await;
        sleep(BRIEFLY).await;
        server.silence();
        let hold = Duration::from_millis(300);
        let terms = CallTerms::repeatable(hold + LIMIT / 2).held_for(hold);
        let short = call(&bench.caller, address, Method::GET, "/state", terms).await;
        assert!(short.is_ok(), "{short:?}");
        bench.keep_connections(address, KEPT).await;
        sleep(BRIEFLY).await;
        server.silence();
        let before = server.arrivals.borrow().len();
        let terms = CallTerms::repeatable(hold * 2).held_for(hold);
        let began = Instant::now();
        let ended = call(&bench.caller, address, Method::GET, "/state", terms).await;
        assert!(ended.is_err());
        assert!(began.elapsed() < hold * 2);
        assert_eq!(server.arrivals.borrow().len(), before + 1);
        assert_eq!(bench.silences("suspected"), 2);
    });
}

/// A caller that waits less long than the call's limit.
#[test]
fn call_that_its_caller_drops_tells_of_its_connection() {
    run(async {
        let (server, address) = SilencingServer::start().await;
        let bench = Bench::new();
        // So slow that the patience with a kept connection is long.
        server.delay.set(Duration::from_millis(500));
        bench.keep_connections(address, KEPT).await;
        server.silence();
        let waited = timeout(ALLOWED, bench.call(address, Method::POST)).await;
        assert!(waited.is_err());
        server.delay.set(Duration::ZERO);
        bench.call(address, Method::POST).await.expect("answer");
        assert_eq!(server.accepted() as usize, KEPT + 1);
    });
}

/// A store that becomes much slower is not silent, and is asked little more than once for each call.
#[test]
fn slow_server_is_not_asked_twice_over_and_over() {
    run(async {
        let (server, address) = SilencingServer::start().await;
        let bench = Bench::new();
        server.delay.set(Duration::from_millis(8));
        bench.keep_connections(address, KEPT).await;
        let watch = bench.watch(address);
        server.until_arrived(KEPT + 1).await;
        server.delay.set(Duration::from_millis(8 * 50));
        for _ in 0..8 {
            bench.call(address, Method::GET).await.expect("answer");
        }
        let arrived = server.arrivals.borrow().len();
        assert_eq!(arrived, KEPT + 1 + 8 + 1, "one call more than asked");
        assert_eq!(bench.silences("suspected"), 1);
        assert_eq!(bench.silences("withdrawn"), 1);
        assert_eq!(bench.silences("confirmed"), 0);
        assert!(!watch.is_finished());
    });
}

/// The same, so slow that no call is answered within its limit.
#[test]
fn server_that_answers_nothing_in_time_is_not_asked_twice_over_and_over() {
    run(async {
        let (server, address) = SilencingServer::start().await;
        let bench = Bench::new();
        bench.keep_connections(address, KEPT).await;
        server.delay.set(LIMIT);
        let terms = CallTerms::repeatable(Duration::from_millis(600));
        for _ in 0..5 {
            let answer = call(&bench.caller, address, Method::GET, "/state", terms).await;
            assert!(answer.is_err());
        }
        let arrived = server.arrivals.borrow().len();
        assert!(arrived <= KEPT + 5 + 1, "{arrived} calls arrived");
        assert_eq!(bench.silences("confirmed"), 0);
    });
}

/// It answers everything at once when it goes on, in any order.
#[test]
fn server_that_stood_still_does_not_count_as_silent() {
    run(async {
        let (server, address) = SilencingServer::start().await;
        let bench = Bench::new();
        bench.keep_connections(address, KEPT).await;
        let until = Instant::now() + Duration::from_millis(500);
        server.stands_still_until.set(Some(until));
        let calls = [Method::GET, Method::POST, Method::GET];
        let calls = calls.map(|method| bench.call(address, method));
        let answers = join_all(calls).await;
        assert!(answers[0].is_ok() && answers[2].is_ok());
        // Longer than it takes to confirm a silence.
        for _ in 0..5 {
            server.delay.set(Duration::from_millis(20));
            bench.call(address, Method::GET).await.expect("answer");
        }
        assert!(bench.silences("suspected") > 0);
        assert_eq!(bench.silences("confirmed"), 0);
    });
}

#[test]
fn silence_at_one_address_makes_idle_connections_to_others_suspect() {
    run(async {
        let (store, store_address) = SilencingServer::start().await;
        let (engine, engine_address) = SilencingServer::start().await;
        let name = BackEndName::new("engine-1");
        let bench = Bench::new();
        bench.keep_connections(store_address, 2).await;
        bench.keep_connections(engine_address, 2).await;
        bench
            .keep_engine_connections(&name, engine_address, 2)
            .await;
        let watch = bench.watch(store_address);
        store.until_arrived(3).await;
        store.silence();
        engine.silence();
        bench
            .call(store_address, Method::GET)
            .await
            .expect("answer");
        // It ends once the silence is confirmed.
        assert!(watch.await.expect("watch").is_err());
        let began = Instant::now();
        bench
            .call(engine_address, Method::POST)
            .await
            .expect("answer");
        let answer = bench.request(&name, engine_address, true).await;
        assert!(!answer.is_kept);
        assert!(began.elapsed() < ALLOWED / 2, "{:?}", began.elapsed());
        assert_eq!(engine.accepted(), 4 + 2, "one new connection for each");
        // Connections that were answered afterwards stay.
        bench
            .call(engine_address, Method::POST)
            .await
            .expect("answer");
        assert_eq!(engine.accepted(), 4 + 2);
    });
}

#[test]
fn silent_connection_to_an_engine_closes_those_unheard_since() {
    run(async {
        let (server, address) = SilencingServer::start().await;
        let name = BackEndName::new("engine-1");
        let bench = Bench::new();
        bench.keep_engine_connections(&name, address, 3).await;
        server.silence();
        let sent_at = bench.clock.now();
        let used = Cell::default();
        let request = Request::new(Full::default());
        let sending = bench.upstream.send(&name, address, request, true, &used);
        let waiting = timeout(Duration::from_millis(50), sending).await;
        assert!(waiting.is_err() && used.get() == Some(ConnectionUse::Reused));
        assert_eq!(bench.upstream.note_silent(&name, sent_at), 2);
        bench.keep_engine_connections(&name, address, 1).await;
        assert_eq!(bench.upstream.note_silent(&name, sent_at), 0);
        assert!(bench.request(&name, address, true).await.is_kept);
    });
}

/// What was heard from shortly before a request: nothing, or a connection to another engine that was
/// opened before the idle one was last used, or after.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Heard {
    Nothing,
    Older,
    Younger,
}

#[parameterized(
    idle_for_a_moment = { 200, Heard::Nothing, false, true },
    nothing_heard_since = { 300, Heard::Nothing, true, false },
    older_heard = { 1_400, Heard::Older, false, true },
    older_heard_repeatable = { 3_900, Heard::Older, true, true },
    younger_heard = { 1_400, Heard::Younger, true, false },
    idle_for_too_long = { 1_600, Heard::Older, false, false },
    idle_for_too_long_repeatable = { 4_100, Heard::Older, true, false },
)]
fn request_uses_an_idle_connection_while_one_as_old_is_heard_from(
    idle_ms: u64,
    heard: Heard,
    is_repeatable: bool,
    is_kept: bool,
) {
    run(async {
        let (_server, address) = SilencingServer::start().await;
        let name = BackEndName::new("engine-1");
        let other = BackEndName::new("engine-2");
        let bench = Bench::new();
        let older = bench.request(&other, address, true).await;
        bench.keep_engine_connections(&name, address, 1).await;
        pause();
        advance(Duration::from_millis(idle_ms)).await;
        resume();
        let younger = bench.request(&other, address, true).await;
        assert!(!younger.is_kept);
        match heard {
            Heard::Nothing => {}
            Heard::Older => bench.upstream.note_received(&older.connection),
            Heard::Younger => bench.upstream.note_received(&younger.connection),
        }
        let answer = bench.request(&name, address, is_repeatable).await;
        assert_eq!(answer.is_kept, is_kept);
    });
}

/// As in an incident in which connections to all engines fell silent at one moment: what was heard
/// before it speaks for no connection a moment later.
#[test]
fn once_all_fell_silent_requests_go_on_new_connections_within_a_moment() {
    run(async {
        let (server, address) = SilencingServer::start().await;
        let name = BackEndName::new("engine-1");
        let bench = Bench::new();
        bench.keep_engine_connections(&name, address, 4).await;
        server.silence();
        pause();
        advance(Duration::from_millis(300)).await;
        resume();
        for _ in 0..4 {
            let answer = bench.request(&name, address, false).await;
            assert!(!answer.is_kept);
        }
    });
}

/// An engine that leaves one order without an answer says nothing of other engines' connections.
#[test]
fn order_that_one_engine_leaves_unanswered_costs_no_connections_to_others() {
    run(async {
        let (_one, one_address) = SilencingServer::start().await;
        let (other, other_address) = SilencingServer::start().await;
        let name = BackEndName::new("engine-2");
        let bench = Bench::new();
        let older = bench.request(&name, other_address, true).await;
        bench.keep_connections(one_address, 1).await;
        bench.keep_engine_connections(&name, other_address, 4).await;
        let terms = CallTerms::once(Duration::from_millis(700));
        let order = call(&bench.caller, one_address, Method::POST, HELD_PATH, terms).await;
        assert!(order.is_err());
        // The report that follows is answered, on a new connection.
        bench.call(one_address, Method::GET).await.expect("answer");
        tokio::time::sleep(Duration::from_millis(100)).await;
        // A connection that was open as long is heard from, so that silence alone would speak
        // against them.
        bench.upstream.note_received(&older.connection);
        bench.keep_engine_connections(&name, other_address, 4).await;
        assert_eq!(other.accepted(), 1 + 4);
    });
}
