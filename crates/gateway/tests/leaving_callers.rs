//! A caller that leaves ends its request, and its engine learns of it within half a second, in every
//! state that a request may be in.

mod raw_engine;
mod support;

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use raw_engine::{Act, After, FIRST_EVENT, PART, RawEngines, STREAM_HEAD};
use ryerouter_gateway::catalogue::RequestKind;
use socket2::SockRef;
use support::gateway_bench::{GatewayBench, run, settings};
use support::records::{engine, route, table};
use support::unanswered_address::UnansweredAddress;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

/// Engines may go on for so long after their caller has left.
const MOST_AFTER_CLOSE: Duration = Duration::from_millis(500);

const WHOLE_REQUEST: &str = "POST /x HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\n\
     content-length: 2\r\n\r\nab";

async fn bench(kind: RequestKind, addresses: &[SocketAddr]) -> GatewayBench {
    let mut settings = settings("node-1");
    // Longer than the bound, so that it can't be what ends an attempt.
    settings.connect.timeout = 10 * MOST_AFTER_CLOSE;
    let mut route = route(kind);
    route.timeout = 20 * MOST_AFTER_CLOSE;
    let names = ["e1", "e2"];
    let entries = names.iter().zip(addresses);
    let entries = entries.map(|(name, address)| engine(name, *address, 1));
    GatewayBench::start_with(settings, Some(table(1, vec![route])), entries.collect()).await
}

/// A caller that has sent this text.
async fn caller(bench: &GatewayBench, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(bench.address).await.expect("connect");
    stream.write_all(text.as_bytes()).await.expect("write");
    stream
}

async fn in_time(what: &str, event: impl Future<Output = ()>) {
    let outcome = tokio::time::timeout(MOST_AFTER_CLOSE, event).await;
    assert!(outcome.is_ok(), "{what}: not within half a second");
}

/// Waits until no request is in progress.
async fn until_idle(bench: &GatewayBench) {
    while bench.gateway.state().active_requests > 0 {
        tokio::task::yield_now().await;
    }
}

/// How a caller leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Close,
    Reset,
}

fn leave(stream: TcpStream, way: Way) {
    if way == Way::Reset {
        let linger = Some(Duration::ZERO);
        SockRef::from(&stream).set_linger(linger).expect("linger");
    }
    drop(stream);
}

/// Plays a script up to its last act, which holds the request; then the caller leaves.
async fn leave_at_the_end_of(kind: RequestKind, script: &[Act], is_answered: bool, way: Way) {
    let (engines, addresses) = RawEngines::start::<2>(script).await;
    let bench = bench(kind, &addresses).await;
    let mut stream = caller(&bench, WHOLE_REQUEST).await;
    engines.until_arrived(script.len()).await;
    if is_answered {
        stream.read_u8().await.expect("begin of the answer");
    }
    leave(stream, way);
    in_time("engine", engines.until_abandoned(1)).await;
    in_time("gateway", until_idle(&bench)).await;
    assert_eq!(engines.arrivals(), script.len());
}

const SILENCE: Act = ("", After::Silence);

#[parameterized(
    before_the_head = { &[SILENCE] },
    within_the_head = { &[("HTTP/1.1 200 OK\r\nx-id: ID\r\n", After::Silence)] },
    within_the_body = { &[(PART, After::Silence)] },
    at_the_second_attempt = { &[("", After::Close), SILENCE] },
    at_the_second_attempt_after_part_of_an_answer = { &[(PART, After::Close), SILENCE] },
)]
fn engine_learns_in_time_that_the_caller_of_a_whole_answer_left(script: &[Act]) {
    run(async {
        for way in [Way::Close, Way::Reset] {
            leave_at_the_end_of(RequestKind::Safe, script, false, way).await;
        }
    });
}

#[parameterized(
    before_the_first_event = { &[(STREAM_HEAD, After::Silence)] },
    between_events = { &[(FIRST_EVENT, After::Silence)] },
    while_events_come = { &[(FIRST_EVENT, After::Repeat)] },
    while_the_stream_goes_on_elsewhere = { &[(FIRST_EVENT, After::Close), SILENCE] },
)]
fn engine_learns_in_time_that_the_caller_of_a_stream_left(script: &[Act]) {
    run(async {
        for way in [Way::Close, Way::Reset] {
            leave_at_the_end_of(RequestKind::Streaming, script, true, way).await;
        }
    });
}

#[test]
fn caller_that_leaves_while_an_engine_is_being_connected_leaves_nothing_behind() {
    run(async {
        let silent = UnansweredAddress::new();
        let bench = bench(RequestKind::Safe, &[silent.address]).await;
        let stream = caller(&bench, WHOLE_REQUEST).await;
        while bench.gateway.peer_message(true).loads.is_empty() {
            tokio::task::yield_now().await;
        }
        leave(stream, Way::Close);
        in_time("gateway", until_idle(&bench)).await;
        assert!(bench.gateway.peer_message(true).loads.is_empty());
    });
}

#[test]
fn request_whose_caller_leaves_within_its_body_reaches_no_engine() {
    run(async {
        for way in [Way::Close, Way::Reset] {
            let (engines, addresses) = RawEngines::start::<2>(&[]).await;
            let bench = bench(RequestKind::Safe, &addresses).await;
            let text = WHOLE_REQUEST.strip_suffix('b').expect("body");
            let stream = caller(&bench, text).await;
            while bench.gateway.state().active_requests == 0 {
                tokio::task::yield_now().await;
            }
            leave(stream, way);
            in_time("gateway", until_idle(&bench)).await;
            assert_eq!(engines.arrivals(), 0);
        }
    });
}

/// The head of a request with a long body.
const LONG_TEXT: &str = "POST /x HTTP/1.1\r\nhost: shop.example\r\nx-id: r2\r\n\
     content-length: 60000\r\n\r\n";

/// A caller may send its next request before the answer to this one: that hides nothing.
#[parameterized(
    next_request = { WHOLE_REQUEST },
    empty_line = { "\r\n" },
)]
fn engine_learns_in_time_that_a_caller_that_had_sent_more_left(more: &str) {
    run(async {
        for way in [Way::Close, Way::Reset] {
            leave_after_more(RequestKind::Safe, SILENCE, more.as_bytes(), way).await;
        }
    });
}

/// The library's buffer does not take all of it, so that bytes wait in the kernel too.
#[test]
fn engine_learns_in_time_that_a_caller_that_had_sent_much_more_left() {
    run(async {
        let more = [LONG_TEXT.as_bytes(), &[b'a'; 60_000]].concat();
        for way in [Way::Close, Way::Reset] {
            leave_after_more(RequestKind::Safe, SILENCE, &more, way).await;
        }
    });
}

#[parameterized(
    before_the_first_event = { (STREAM_HEAD, After::Silence) },
    between_events = { (FIRST_EVENT, After::Silence) },
)]
fn engine_learns_in_time_that_the_caller_of_a_stream_that_had_sent_more_left(act: Act) {
    run(async {
        for way in [Way::Close, Way::Reset] {
            leave_after_more(RequestKind::Streaming, act, WHOLE_REQUEST.as_bytes(), way).await;
        }
    });
}

async fn leave_after_more(kind: RequestKind, act: Act, more: &[u8], way: Way) {
    let (engines, addresses) = RawEngines::start::<1>(&[act]).await;
    let bench = bench(kind, &addresses).await;
    let mut stream = caller(&bench, WHOLE_REQUEST).await;
    stream.write_all(more).await.expect("write");
    engines.until_arrived(1).await;
    leave(stream, way);
    in_time("engine", engines.until_abandoned(1)).await;
    in_time("gateway", until_idle(&bench)).await;
    assert_eq!(engines.arrivals(), 1);
}

/// A planned stop waits for what runs, but not for one whose caller has left.
#[test]
fn engine_learns_in_time_that_a_caller_that_had_sent_more_left_while_the_node_stops() {
    run(async {
        let (engines, addresses) = RawEngines::start::<1>(&[SILENCE]).await;
        let bench = bench(RequestKind::Safe, &addresses).await;
        let stream = caller(&bench, &format!("{WHOLE_REQUEST}{WHOLE_REQUEST}")).await;
        engines.until_arrived(1).await;
        bench.gateway.leave();
        tokio::task::yield_now().await;
        leave(stream, Way::Close);
        in_time("engine", engines.until_abandoned(1)).await;
        in_time("gateway", until_idle(&bench)).await;
        assert_eq!(engines.arrivals(), 1);
    });
}

/// A caller that has closed its side of the connection can't be told from one that has closed all of
/// it, so it has left; whether it had sent more makes no difference.
#[parameterized(
    nothing_more = { "" },
    next_request = { WHOLE_REQUEST },
)]
fn caller_that_closes_its_side_has_left(more: &str) {
    run(async {
        let (engines, addresses) = RawEngines::start::<1>(&[SILENCE]).await;
        let bench = bench(RequestKind::Safe, &addresses).await;
        let mut stream = caller(&bench, &format!("{WHOLE_REQUEST}{more}")).await;
        engines.until_arrived(1).await;
        stream.shutdown().await.expect("shutdown");
        in_time("engine", engines.until_abandoned(1)).await;
        in_time("gateway", until_idle(&bench)).await;
        assert_eq!(engines.arrivals(), 1);
    });
}

/// What a caller sends before its answer is answered in turn as long as it stays.
#[test]
fn caller_that_sends_more_and_stays_gets_all_answers() {
    run(async {
        let (engines, addresses) = RawEngines::start::<1>(&[]).await;
        let bench = bench(RequestKind::Safe, &addresses).await;
        let mut stream = caller(&bench, &WHOLE_REQUEST.repeat(3)).await;
        for _ in 0..3 {
            let mut text = Vec::new();
            while !text.ends_with(b"\r\n\r\nok") {
                text.push(stream.read_u8().await.expect("answer"));
            }
        }
        assert_eq!(engines.arrivals(), 3);
    });
}
