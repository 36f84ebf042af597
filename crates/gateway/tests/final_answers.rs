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

const NO_BODY: &str = "x-id: ID\r\nx-signed: 1\r\ncontent-length: 0\r\n\r\n";

/// Callers got statuses that are no final answers of HTTP.
#[parameterized(
    zero = { "HTTP/1.1 000 X" },
    below_100 = { "HTTP/1.1 099 X" },
    switching_protocols = { "HTTP/1.1 101 Switching Protocols" },
    switching_protocols_with_upgrade = { "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: h2c" },
    unknown_interim = { "HTTP/1.1 199 X" },
    six_hundred = { "HTTP/1.1 600 X" },
    nine_hundred_and_ninety_nine = { "HTTP/1.1 999 X" },
    four_digits = { "HTTP/1.1 1000 X" },
    letter = { "HTTP/1.1 2O0 OK" },
    two_digits = { "HTTP/1.1 00 X" },
    negative = { "HTTP/1.1 -20 X" },
    empty = { "HTTP/1.1  X" },
    without_the_mark_of_the_engine = { "HTTP/1.1 600 X\r\nx-not-executed: 1" },
)]
fn status_that_is_not_final_reaches_no_caller(line: &'static str) {
    let text: &'static str = format!("{line}\r\n{NO_BODY}").leak();
    run(async move {
        for after in [After::Next, After::Close, After::Silence] {
            let act = (text, after);
            let (answer, _) = play(RequestKind::Unsafe, &[act, act]).await;
            let ended = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
            assert!(ended.contains(&answer.status), "{after:?}: {answer:?}");
            let (answer, arrivals) = play(RequestKind::Safe, &[act, WHOLE]).await;
            // An interim answer that nothing follows is waited for until the end of the request.
            let is_lost = arrivals == 1 && ended.contains(&answer.status);
            let is_served = arrivals == 2 && answer.status == StatusCode::OK;
            assert!(is_served || is_lost, "{after:?}: {arrivals} {answer:?}");
            let stream = stream_text(true, &[act, act]).await;
            let status = stream.split(' ').nth(1).unwrap_or_default();
            assert!(["", "502", "504"].contains(&status), "{after:?}: {stream}");
        }
    });
}

/// An engine that answered so went on being used like a sound one.
#[parameterized(
    switching_protocols = { "HTTP/1.1 101 X\r\n" },
    six_hundred = { "HTTP/1.1 600 X\r\n" },
    nine_hundred_and_ninety_nine = { "HTTP/1.1 999 X\r\n" },
    zero = { "HTTP/1.1 000 X\r\n" },
)]
fn engine_that_gives_no_final_answer_is_ejected(line: &'static str) {
    let text: &'static str = format!("{line}{NO_BODY}").leak();
    run(async move {
        const REQUESTS: usize = 40;
        const MOST_TRIES: usize = 5;
        let (bad, [first]) = RawEngines::start(&[(text, After::Next); REQUESTS]).await;
        let (good, [second]) = RawEngines::start(&[]).await;
        let entries = vec![engine("e1", first, 1), engine("e2", second, 1)];
        let table = table(1, vec![route(RequestKind::Safe)]);
        let bench = GatewayBench::start(Some(table), entries).await;
        for number in 0..REQUESTS {
            let id = format!("r{number}");
            let answer = bench.call("POST", &[(ID, &id)], "x").await;
            assert_eq!(answer.status, StatusCode::OK, "{id}");
        }
        assert_eq!(good.arrivals(), REQUESTS);
        assert!(bad.arrivals() <= MOST_TRIES, "{} tries", bad.arrivals());
    });
}

/// Answers whose end two fields tell differently, or that have a body where HTTP allows none.
#[parameterized(
    two_lengths = { "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok!", None },
    the_same_length_twice = { "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length: 2\r\ncontent-length: 2\r\n\r\nok", Some("ok") },
    length_that_is_no_number = { "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length: 2a\r\n\r\nok", None },
    length_beside_chunks = { "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length: 9\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Some("ok") },
    interim_answers_before_the_real_one = { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length: 2\r\n\r\nok", Some("ok") },
)]
fn answer_of_doubtful_length_is_whole_or_none(text: &'static str, expected: Option<&str>) {
    let expected = expected.map(str::to_owned);
    run(async move {
        let (answer, _) = play(RequestKind::Unsafe, &[(text, After::Close)]).await;
        match expected {
            Some(body) => {
                assert_eq!(answer.status, StatusCode::OK);
                assert_eq!(answer.body, Ok(body));
            }
            None => assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{answer:?}"),
        }
    });
}

/// The bytes behind an answer without a body were taken for the answer to the next request.
#[parameterized(
    no_content = { "HTTP/1.1 204 No Content\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length: 2\r\n\r\nok", StatusCode::NO_CONTENT },
    reset_content = { "HTTP/1.1 205 Reset Content\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length: 0\r\n\r\nok", StatusCode::RESET_CONTENT },
    not_modified = { "HTTP/1.1 304 Not Modified\r\nx-id: ID\r\nx-signed: 1\r\n\r\nok", StatusCode::NOT_MODIFIED },
)]
fn body_of_an_answer_that_has_none_reaches_nobody(text: &'static str, status: StatusCode) {
    run(async move {
        let (_engines, [only]) = RawEngines::start(&[(text, After::Next)]).await;
        let table = table(1, vec![route(RequestKind::Safe)]);
        let bench = GatewayBench::start(Some(table), vec![engine("e1", only, 1)]).await;
        let first = bench.call("POST", &[(ID, "r1")], "x").await;
        assert_eq!((first.status, first.body), (status, Ok(String::new())));
        let second = bench.call("POST", &[(ID, "r2")], "x").await;
        assert_eq!(second.status, StatusCode::OK, "{second:?}");
        assert_eq!(second.body.as_deref(), Ok("ok"));
    });
}

/// Of a HEAD request the length stands for a body that does not come; one that comes all the same is nobody's answer.
#[parameterized(
    without_a_body = { "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length: 2\r\n\r\n" },
    with_a_body = { "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length: 2\r\n\r\nok" },
    in_chunks = { "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" },
)]
fn answer_to_head_has_no_body(text: &'static str) {
    run(async move {
        let (_engines, [only]) = RawEngines::start(&[(text, After::Next)]).await;
        let table = table(1, vec![route(RequestKind::Safe)]);
        let bench = GatewayBench::start(Some(table), vec![engine("e1", only, 1)]).await;
        let first = bench.call("HEAD", &[(ID, "r1")], "").await;
        assert_eq!(
            (first.status, first.body),
            (StatusCode::OK, Ok(String::new()))
        );
        let second = bench.call("POST", &[(ID, "r2")], "x").await;
        assert_eq!(second.status, StatusCode::OK, "{second:?}");
        assert_eq!(second.body.as_deref(), Ok("ok"));
    });
}

/// An answer without an id that an engine sent late, after a whole one, was taken for the answer to the next request on
/// that connection, which ran.
#[parameterized(
    refusal = { "HTTP/1.1 503 Full\r\nx-signed: 1\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n" },
    unsigned_refusal = { "HTTP/1.1 429 Full\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n" },
    other_engine = { "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n" },
    not_found = { "HTTP/1.1 404 Not Found\r\nx-signed: 1\r\ncontent-length: 0\r\n\r\n" },
    error = { "HTTP/1.1 500 Error\r\nx-signed: 1\r\ncontent-length: 0\r\n\r\n" },
)]
fn late_answer_without_an_id_is_not_taken_for_the_next_one(surplus: &'static str) {
    run(async move {
        let (engines, [only]) = RawEngines::start(&[WHOLE, (surplus, After::Next)]).await;
        let table = table(1, vec![route(RequestKind::Unsafe)]);
        let bench = GatewayBench::start(Some(table), vec![engine("e1", only, 1)]).await;
        let first = bench.call("POST", &[(ID, "r1")], "x").await;
        assert_eq!(first.status, StatusCode::OK);
        let second = bench.call("POST", &[(ID, "r2")], "x").await;
        assert_eq!(second.status, StatusCode::BAD_GATEWAY, "{second:?}");
        assert_eq!(engines.arrivals(), 2);
    });
}

/// Nothing can have been sent before on a new connection, so that a refusal there is the request's own.
#[test]
fn refusal_without_an_id_is_believed_on_a_new_connection() {
    const REFUSAL: Act = (
        "HTTP/1.1 503 Full\r\nx-signed: 1\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
        After::Next,
    );
    run(async {
        let (answer, arrivals) = play(RequestKind::Unsafe, &[REFUSAL, WHOLE]).await;
        assert_eq!((answer.status, arrivals), (StatusCode::OK, 2));
    });
}
