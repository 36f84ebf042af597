//! What the gateway answers of its own never promises "not run" of a request that an engine has
//! run, and an answer that an engine has made is not replaced by a refusal.

mod raw_engine;
mod support;

use std::time::Duration;

use hyper::StatusCode;
use raw_engine::{Act, After, FIRST_EVENT, NO_ROOM, PART, RawEngines, STREAM_HEAD, WHOLE};
use ryerouter_gateway::catalogue::RequestKind;
use support::gateway_bench::{CallerAnswer, GatewayBench, run, settings};
use support::records::{engine, route, table};
use support::test_dialect::ID;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

/// Statuses that promise that a request has not run.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];
/// End of a stream that is complete.
const LAST_CHUNK: &str = "0\r\n\r\n";
const TIMEOUT: Duration = Duration::from_millis(300);

/// Answer to one request where two engines share a script, and how many engines it reached.
async fn play(kind: RequestKind, script: &[Act]) -> (CallerAnswer, usize) {
    let (engines, [first, second]) = RawEngines::start(script).await;
    let mut route = route(kind);
    route.timeout = TIMEOUT;
    let entries = vec![engine("e1", first, 1), engine("e2", second, 1)];
    let bench = GatewayBench::start(Some(table(1, vec![route])), entries).await;
    let answer = bench.call("POST", &[(ID, "r1")], "x").await;
    (answer, engines.arrivals())
}

const LOST: Act = ("", After::Close);
const SILENCE: Act = ("", After::Silence);
const UNMARKED: Act = (
    "HTTP/1.1 503 Full\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length: 0\r\n\r\n",
    After::Next,
);
const FOREIGN: Act = (
    "HTTP/1.1 503 Full\r\nx-id: r0\r\nx-signed: 1\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
    After::Next,
);
const GARBAGE: Act = ("no answer at all\r\n\r\n", After::Close);
const ERROR: Act = (
    "HTTP/1.1 500 Error\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length: 0\r\n\r\n",
    After::Next,
);

#[parameterized(
    answer_is_lost = { LOST },
    no_answer_comes = { SILENCE },
    part_of_an_answer = { (PART, After::Close) },
    refusal_without_the_mark = { UNMARKED },
    refusal_of_another_request = { FOREIGN },
    bytes_that_are_no_answer = { GARBAGE },
    error_of_the_engine = { ERROR },
)]
fn request_that_may_have_run_gets_no_promise_that_it_has_not(first: Act) {
    run(async move {
        for kind in [RequestKind::Safe, RequestKind::Unsafe] {
            let (answer, arrivals) = play(kind, &[first, NO_ROOM]).await;
            assert!(!PROMISES.contains(&answer.status), "{kind:?}: {answer:?}");
            assert!(!answer.status.is_success(), "{kind:?}: {answer:?}");
            assert!(arrivals == 1 || kind == RequestKind::Safe);
        }
    });
}

#[parameterized(
    answer_is_lost = { LOST },
    refusal_without_the_mark = { UNMARKED },
    refusal_of_another_request = { FOREIGN },
    only_a_head = { (STREAM_HEAD, After::Close) },
    broken_off = { (FIRST_EVENT, After::Close) },
)]
fn stream_that_may_have_run_gets_no_promise_and_does_not_look_complete(first: Act) {
    run(async move {
        for is_resumable in [true, false] {
            let text = stream_text(is_resumable, &[first, NO_ROOM]).await;
            // A connection that ends without a word promises nothing.
            let status = text.split(' ').nth(1).unwrap_or_default();
            let is_promise = PROMISES.iter().any(|promise| promise.as_str() == status);
            assert!(!is_promise, "{text}");
            let is_complete = status == "200" && text.ends_with(LAST_CHUNK);
            assert!(!is_complete, "{text}");
        }
    });
}

/// All bytes that the caller of a stream gets until its connection ends.
async fn stream_text(is_resumable: bool, script: &[Act]) -> String {
    let (_engines, [first, second]) = RawEngines::start(script).await;
    let mut route = route(RequestKind::Streaming);
    route.timeout = TIMEOUT;
    route.is_resumable = is_resumable;
    let entries = vec![engine("e1", first, 1), engine("e2", second, 1)];
    let bench = GatewayBench::start(Some(table(1, vec![route])), entries).await;
    let mut stream = TcpStream::connect(bench.address).await.expect("connect");
    let request = "POST /x HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\n\
         connection: close\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("write");
    let mut bytes = Vec::new();
    // A reset ends the text as a close does.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8(bytes).expect("text")
}

#[parameterized(
    after_a_refusal = { NO_ROOM },
    after_a_lost_answer = { LOST },
    after_part_of_an_answer = { (PART, After::Close) },
    after_a_refusal_without_the_mark = { UNMARKED },
)]
fn good_answer_of_the_second_engine_is_the_answer(first: Act) {
    run(async move {
        let (answer, arrivals) = play(RequestKind::Safe, &[first, WHOLE]).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.body.as_deref(), Ok("ok"));
        assert_eq!(arrivals, 2);
    });
}

/// The retry budget stops the second attempt: the first may have run.
#[parameterized(
    answer_is_lost = { LOST, StatusCode::BAD_GATEWAY },
    refusal_without_the_mark = { UNMARKED, StatusCode::BAD_GATEWAY },
    no_room = { NO_ROOM, StatusCode::SERVICE_UNAVAILABLE },
)]
fn without_a_retry_the_answer_tells_whether_the_request_may_have_run(first: Act, told: StatusCode) {
    run(async move {
        let (engines, [first, second]) = RawEngines::start(&[first]).await;
        let mut settings = settings("node-1");
        settings.retry.floor = 0.0;
        let entries = vec![engine("e1", first, 1), engine("e2", second, 1)];
        let table = table(1, vec![route(RequestKind::Safe)]);
        let bench = GatewayBench::start_with(settings, Some(table), entries).await;
        let answer = bench.call("POST", &[(ID, "r1")], "x").await;
        assert_eq!(answer.status, told);
        assert_eq!(engines.arrivals(), 1);
    });
}

/// What an engine sends after a whole answer belongs to no later request on that connection.
#[test]
fn refusal_that_follows_a_whole_answer_refuses_no_later_request() {
    run(async {
        const EXTRA: Act = (
            "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length: 2\r\n\r\nok\
             HTTP/1.1 503 Full\r\nx-id: ID\r\nx-signed: 1\r\nx-not-executed: 1\r\n\
             content-length: 0\r\n\r\n",
            After::Next,
        );
        let (_engines, [only]) = RawEngines::start(&[EXTRA]).await;
        let table = table(1, vec![route(RequestKind::Unsafe)]);
        let bench = GatewayBench::start(Some(table), vec![engine("e1", only, 1)]).await;
        for id in ["r1", "r2", "r3"] {
            let answer = bench.call("POST", &[(ID, id)], "x").await;
            assert!(!PROMISES.contains(&answer.status), "{id}: {answer:?}");
        }
    });
}
