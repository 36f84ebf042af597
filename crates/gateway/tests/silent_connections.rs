//! Connections that go silent for good while new ones work.

mod support;

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::{Method, Request};
use ryerouter_gateway::clock::Clock;
use ryerouter_gateway::upstream::{CallError, ConnectSettings, JsonCaller};
use support::silencing_server::{HELD_PATH, SilencingServer};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, timeout};

/// Limit of a call that is to be answered much sooner.
const LIMIT: Duration = Duration::from_secs(5);
/// Within this a call is through although all kept connections are silent.
const ALLOWED: Duration = Duration::from_millis(600);
/// Longest run of a test.
const TEST_LIMIT: Duration = Duration::from_secs(20);
/// Calls made at once, so that so many connections are kept.
const KEPT: usize = 4;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, async {
        let result = timeout(TEST_LIMIT, test).await;
        result.expect("test ends in time");
    });
}

fn new_caller() -> Rc<JsonCaller> {
    Rc::new(JsonCaller::new(ConnectSettings::default(), Clock::start()))
}

async fn call(
    caller: &JsonCaller,
    address: SocketAddr,
    method: Method,
    path: &str,
) -> Result<(), CallError> {
    let request = Request::builder().method(method).uri(path);
    let request = request.body(Full::default()).expect("request");
    caller.call(address, request, LIMIT).await.map(drop)
}

/// Leaves so many idle connections.
async fn keep_connections(caller: &JsonCaller, address: SocketAddr, count: usize) {
    let calls = (0..count).map(|_| call(caller, address, Method::GET, "/first"));
    for answer in futures_util::future::join_all(calls).await {
        answer.expect("answer");
    }
}

#[test]
fn repeatable_call_is_answered_although_kept_connections_are_silent() {
    run(async {
        let (server, address) = SilencingServer::start().await;
        let caller = new_caller();
        keep_connections(&caller, address, KEPT).await;
        server.silence();
        let began = Instant::now();
        for _ in 0..KEPT + 1 {
            let answer = call(&caller, address, Method::GET, "/next").await;
            answer.expect("answer");
        }
        assert!(began.elapsed() < ALLOWED, "{:?}", began.elapsed());
    });
}

#[test]
fn call_that_must_not_repeat_ends_early_and_its_retry_is_answered() {
    run(async {
        let (server, address) = SilencingServer::start().await;
        let caller = new_caller();
        keep_connections(&caller, address, KEPT).await;
        server.silence();
        let began = Instant::now();
        let first = call(&caller, address, Method::POST, "/order").await;
        assert!(first.is_err());
        let second = call(&caller, address, Method::POST, "/order").await;
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
        let caller = new_caller();
        keep_connections(&caller, address, 2).await;
        let watching = Rc::clone(&caller);
        let watch =
            spawn_local(async move { call(&watching, address, Method::GET, HELD_PATH).await });
        server.until_arrived(3).await;
        server.silence();
        let began = Instant::now();
        call(&caller, address, Method::GET, "/next")
            .await
            .expect("answer");
        let ended = watch.await.expect("watch");
        assert!(ended.is_err());
        assert!(began.elapsed() < ALLOWED, "{:?}", began.elapsed());
    });
}
