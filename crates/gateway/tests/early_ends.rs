//! An engine that is at work is left to it until the caller's deadline or the route's limit; then the
//! caller gets its final answer at once.

mod raw_engine;
mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use raw_engine::{Act, After, FIRST_EVENT, NO_ROOM, PART, RawEngines, STREAM_HEAD};
use ryerouter_core::identity::PoolName;
use ryerouter_gateway::catalogue::RequestKind;
use ryerouter_gateway::engines::AnswerPhase;
use support::gateway_bench::{GatewayBench, run};
use support::records::{POOL, engine, route, table};
use support::test_dialect::{ID, PATIENCE_MS};
use support::unanswered_address::UnansweredAddress;
use tokio::task::spawn_local;
use tokio::time::Instant;
use yare::parameterized;

const LONG: Duration = Duration::from_millis(600);
const SHORT: Duration = Duration::from_millis(300);
/// Clocks of two tasks and the timer's grain.
const GRAIN: Duration = Duration::from_millis(20);
/// A request may get its final answer this much later than its limit.
const MOST_LATE: Duration = Duration::from_millis(500);

/// So many answers tell how long they take.
const ANSWERS_UNTIL_SETTLED: u32 = 16;
/// Each goes to either of two engines first.
const MOST_REQUESTS: usize = 40;

const SILENCE: Act = ("", After::Silence);

async fn bench(kind: RequestKind, timeout: Duration, addresses: [SocketAddr; 2]) -> GatewayBench {
    let mut route = route(kind);
    route.timeout = timeout;
    // An engine is not left for a target that has passed.
    route.target_latency = timeout / 10;
    let [first, second] = addresses;
    let entries = vec![engine("e1", first, 1), engine("e2", second, 1)];
    GatewayBench::start(Some(table(1, vec![route])), entries).await
}

/// Plays one request that an engine holds; tells how long it was left to it, and how long the
/// caller waited.
async fn play(kind: RequestKind, act: Act, route: Duration, caller: Duration) -> [Duration; 2] {
    let (engines, addresses) = RawEngines::start(&[act]).await;
    let bench = bench(kind, route, addresses).await;
    let began = Instant::now();
    let watched = Rc::clone(&engines);
    let abandoned = spawn_local(async move {
        watched.until_abandoned(1).await;
        began.elapsed()
    });
    let patience = caller.as_millis().to_string();
    let headers = [(ID, "r1"), (PATIENCE_MS, patience.as_str())];
    let answer = bench.call("POST", &headers, "x").await;
    let waited = began.elapsed();
    assert!(
        !answer.status.is_success() || answer.body.is_err(),
        "{answer:?}"
    );
    assert_eq!(engines.arrivals(), 1);
    [abandoned.await.expect("task"), waited]
}

#[parameterized(
    safe = { RequestKind::Safe, SILENCE },
    at_most_once = { RequestKind::Unsafe, SILENCE },
    within_a_body = { RequestKind::Safe, (PART, After::Silence) },
    stream_without_an_answer = { RequestKind::Streaming, SILENCE },
    within_a_stream = { RequestKind::Streaming, (FIRST_EVENT, After::Silence) },
)]
fn engine_is_left_to_its_work_until_the_limit_and_no_longer(kind: RequestKind, act: Act) {
    run(async move {
        for (route, caller) in [(SHORT, LONG), (LONG, SHORT)] {
            let [left_alone, waited] = play(kind, act, route, caller).await;
            assert!(
                left_alone + GRAIN >= SHORT,
                "engine left after {left_alone:?}"
            );
            assert!(
                left_alone <= SHORT + MOST_LATE,
                "engine kept for {left_alone:?}"
            );
            assert!(waited <= SHORT + MOST_LATE, "caller waited for {waited:?}");
        }
    });
}

/// The head of a stream has told nothing yet: the caller's connection ends with the limit.
#[test]
fn stream_without_an_event_ends_with_its_limit() {
    run(async {
        let (engines, addresses) = RawEngines::start(&[(STREAM_HEAD, After::Silence)]).await;
        let bench = bench(RequestKind::Streaming, SHORT, addresses).await;
        let began = Instant::now();
        let mut stream = tokio::net::TcpStream::connect(bench.address)
            .await
            .expect("connect");
        let text =
            b"POST /x HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\ncontent-length: 0\r\n\r\n";
        tokio::io::AsyncWriteExt::write_all(&mut stream, text)
            .await
            .expect("write");
        let mut bytes = Vec::new();
        // A reset ends it as a close does.
        let _ = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut bytes).await;
        let waited = began.elapsed();
        assert!(waited + GRAIN >= SHORT, "{waited:?}");
        assert!(waited <= SHORT + MOST_LATE, "{waited:?}");
        engines.until_abandoned(1).await;
    });
}

/// The limit counts from the head, so a body that comes later than it is of no use to an engine.
#[test]
fn request_whose_body_comes_after_its_limit_reaches_no_engine() {
    run(async {
        let (engines, addresses) = RawEngines::start(&[]).await;
        let bench = bench(RequestKind::Unsafe, SHORT, addresses).await;
        let mut stream = tokio::net::TcpStream::connect(bench.address)
            .await
            .expect("connect");
        let text =
            b"POST /x HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\ncontent-length: 2\r\n\r\na";
        tokio::io::AsyncWriteExt::write_all(&mut stream, text)
            .await
            .expect("write");
        tokio::time::sleep(SHORT + GRAIN).await;
        // The gateway may have answered, or closed the connection, by now.
        let _ = tokio::io::AsyncWriteExt::write_all(&mut stream, b"b").await;
        let mut head = [0; 12];
        let read = tokio::io::AsyncReadExt::read_exact(&mut stream, &mut head).await;
        let is_success = read.is_ok() && head.ends_with(b"200");
        assert!(!is_success);
        // Whatever was still under way would have arrived before this one.
        let next = bench.call("POST", &[(ID, "r2")], "x").await;
        assert!(next.status.is_success());
        assert_eq!(engines.arrivals(), 1);
    });
}

/// Nothing was written, so the caller may be told that it has not run.
#[parameterized(
    safe = { RequestKind::Safe },
    at_most_once = { RequestKind::Unsafe },
    stream = { RequestKind::Streaming },
)]
fn request_whose_engine_is_still_being_connected_at_its_limit_has_not_run(kind: RequestKind) {
    run(async move {
        let silent = UnansweredAddress::new();
        let bench = bench(kind, SHORT, [silent.address; 2]).await;
        let answer = bench.call("POST", &[(ID, "r1")], "x").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.retry_after.is_some_and(|seconds| seconds > 0.0));
    });
}

/// The first engine may have run it, or said that it has not; the second is being connected.
#[parameterized(
    may_have_run = { ("", After::Close), StatusCode::GATEWAY_TIMEOUT },
    has_not_run = { NO_ROOM, StatusCode::SERVICE_UNAVAILABLE },
)]
fn earlier_attempt_counts_while_the_next_engine_is_being_connected(act: Act, expected: StatusCode) {
    run(async move {
        for number in 0..MOST_REQUESTS {
            let (engines, [first]) = RawEngines::start(&[act]).await;
            let silent = UnansweredAddress::new();
            let bench = bench(RequestKind::Safe, SHORT, [first, silent.address]).await;
            let id = format!("r{number}");
            let answer = bench.call("POST", &[(ID, id.as_str())], "x").await;
            if engines.arrivals() > 0 {
                return assert_eq!(answer.status, expected);
            }
        }
        panic!("the first engine was never asked");
    });
}

/// The engine answers others meanwhile, so the attempt is given up; still nothing was written.
#[test]
fn attempt_that_was_given_up_while_its_engine_was_being_connected_has_not_run() {
    run(async {
        let silent = UnansweredAddress::new();
        let bench = bench(RequestKind::Safe, LONG, [silent.address; 2]).await;
        let gateway = Rc::clone(&bench.gateway);
        for _ in 0..ANSWERS_UNTIL_SETTLED {
            let times = &mut gateway.state_mut().phase_times;
            times.note(
                &PoolName::new(POOL),
                "route",
                AnswerPhase::Head,
                Duration::ZERO,
            );
        }
        let calling =
            spawn_local(async move { bench.call("POST", &[(ID, "r1")], "x").await.status });
        while gateway.state().active_requests == 0 {
            tokio::task::yield_now().await;
        }
        let now = gateway.clock().now();
        for engine in gateway.state_mut().engines.iter_mut() {
            engine.note_answer_to(now.after(GRAIN));
        }
        assert_eq!(
            calling.await.expect("task"),
            StatusCode::SERVICE_UNAVAILABLE
        );
    });
}
