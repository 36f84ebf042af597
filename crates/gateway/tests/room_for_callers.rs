//! Callers may keep only so many connections open; who comes later is served at once, and nobody's
//! request is lost for it.

mod raw_engine;
mod support;

use std::io;
use std::time::Duration;

use raw_engine::{Act, After, RawEngines};
use ryerouter_gateway::catalogue::RequestKind;
use ryerouter_gateway::connections::{DescriptorShare, listen};
use support::gateway_bench::{GatewayBench, run};
use support::records::{engine, route, table};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

/// Connections that callers may keep open.
const MOST: usize = 3;
/// Nobody waits for so long for what is done at once.
const AT_ONCE: Duration = Duration::from_secs(1);
/// Connections that callers open while a process stands still.
const BURST: usize = 600;
/// Long beside what the gateway would need to close a connection.
const A_WHILE: Duration = Duration::from_millis(100);

/// More than the system takes of one connection for a caller that reads nothing.
const LONG_ANSWER_BYTES: usize = 7 * 1_024 * 1_024;

const REQUEST: &str = "POST /x HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\n\
     content-length: 2\r\n\r\nab";
const SILENCE: Act = ("", After::Silence);

async fn bench(script: &[Act]) -> (std::rc::Rc<RawEngines>, GatewayBench) {
    let (engines, [address]) = RawEngines::start::<1>(script).await;
    let table = table(1, vec![route(RequestKind::Safe)]);
    let entries = vec![engine("e1", address, 1)];
    (
        engines,
        GatewayBench::start_bounded(MOST, Some(table), entries).await,
    )
}

async fn connect(bench: &GatewayBench) -> TcpStream {
    TcpStream::connect(bench.address).await.expect("connect")
}

async fn send(stream: &mut TcpStream) {
    stream.write_all(REQUEST.as_bytes()).await.expect("write");
}

/// Reads a whole answer at once, and tells whether it is one of an engine's.
async fn is_answered(stream: &mut TcpStream) -> bool {
    let mut text = Vec::new();
    let reading = async {
        while !text.ends_with(b"\r\n\r\nok") {
            text.push(stream.read_u8().await?);
        }
        io::Result::Ok(())
    };
    let outcome = tokio::time::timeout(AT_ONCE, reading).await;
    matches!(outcome, Ok(Ok(()))) && text.starts_with(b"HTTP/1.1 200 ")
}

async fn is_closed_at_once(stream: &mut TcpStream) -> bool {
    let end = tokio::time::timeout(AT_ONCE, stream.read(&mut [0; 1])).await;
    matches!(end, Ok(Ok(0)))
}

/// So many callers that were answered and keep their connections, the longest idle first.
async fn idle_callers(bench: &GatewayBench, count: usize) -> Vec<TcpStream> {
    let mut idle = Vec::new();
    for _ in 0..count {
        let mut stream = connect(bench).await;
        send(&mut stream).await;
        assert!(is_answered(&mut stream).await);
        idle.push(stream);
    }
    idle
}

#[test]
fn connection_that_has_been_idle_longest_makes_room() {
    run(async {
        let (_engines, bench) = bench(&[]).await;
        let mut idle = idle_callers(&bench, MOST).await;
        // The first is used again, so the second has been idle longest.
        send(&mut idle[0]).await;
        assert!(is_answered(&mut idle[0]).await);
        let mut newcomer = connect(&bench).await;
        send(&mut newcomer).await;
        assert!(is_answered(&mut newcomer).await);
        assert!(is_closed_at_once(&mut idle[1]).await);
        for stays in [0, 2] {
            send(&mut idle[stays]).await;
            assert!(is_answered(&mut idle[stays]).await);
        }
    });
}

/// Bytes that are no whole request yet hold no room for good.
#[parameterized(
    nothing = { "" },
    part_of_a_head = { "POST /x HT" },
)]
fn connection_without_a_request_makes_room(text: &str) {
    run(async {
        let (_engines, bench) = bench(&[]).await;
        let mut first = connect(&bench).await;
        first.write_all(text.as_bytes()).await.expect("write");
        let _idle = idle_callers(&bench, MOST - 1).await;
        let mut newcomer = connect(&bench).await;
        send(&mut newcomer).await;
        assert!(is_answered(&mut newcomer).await);
        assert!(is_closed_at_once(&mut first).await);
    });
}

#[test]
fn connection_with_a_request_in_progress_is_never_closed() {
    run(async {
        let (engines, bench) = bench(&[SILENCE; MOST + 1]).await;
        let mut busy = Vec::new();
        for count in 1..=MOST + 1 {
            let mut stream = connect(&bench).await;
            send(&mut stream).await;
            engines.until_arrived(count).await;
            busy.push(stream);
        }
        let mut waiting = connect(&bench).await;
        send(&mut waiting).await;
        for stream in &mut busy {
            let read = tokio::time::timeout(A_WHILE, stream.read(&mut [0; 1])).await;
            assert!(read.is_err(), "{read:?}");
        }
        assert_eq!(engines.arrivals(), MOST + 1);
        // One that ends makes room.
        busy.pop();
        assert!(is_answered(&mut waiting).await);
    });
}

/// The caller that takes its answer slowly is the one whose request came first.
#[test]
fn connection_that_still_takes_its_answer_does_not_keep_idle_ones_from_making_room() {
    run(async {
        let body = "x".repeat(LONG_ANSWER_BYTES);
        let head = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length:";
        let answer = format!("{head} {LONG_ANSWER_BYTES}\r\n\r\n{body}").leak();
        let (engines, bench) = bench(&[(answer, After::Next)]).await;
        let mut slow = connect(&bench).await;
        send(&mut slow).await;
        engines.until_arrived(1).await;
        while bench.gateway.state().active_requests > 0 {
            tokio::task::yield_now().await;
        }
        let _idle = idle_callers(&bench, MOST - 1).await;
        let mut newcomers = Vec::new();
        for _ in 0..MOST - 1 {
            let mut newcomer = connect(&bench).await;
            send(&mut newcomer).await;
            assert!(is_answered(&mut newcomer).await);
            newcomers.push(newcomer);
        }
    });
}

/// The request is on its way when the node chooses the connection to close.
#[test]
fn request_that_crosses_the_close_is_answered() {
    run(async {
        let (_engines, bench) = bench(&[]).await;
        let mut idle = idle_callers(&bench, MOST).await;
        // One step of this test, in which the node does nothing.
        let newcomer = std::net::TcpStream::connect(bench.address).expect("connect");
        let sent = idle[0].try_write(REQUEST.as_bytes()).expect("write");
        assert_eq!(sent, REQUEST.len());
        assert!(is_answered(&mut idle[0]).await);
        assert!(is_closed_at_once(&mut idle[1]).await);
        drop(newcomer);
    });
}

#[parameterized(
    little = { 64, 12, 2 },
    usual = { 1_024, 372, 62 },
    nearly_nothing = { 10, 1, 1 },
)]
fn callers_leave_descriptors_to_engines(limit: u64, callers: usize, questions: usize) {
    assert_eq!(DescriptorShare::Callers.part_of(limit), callers);
    assert_eq!(DescriptorShare::Questions.part_of(limit), questions);
}

/// The system dropped the attempts to connect behind the first 129 while the process stood still.
#[test]
fn connections_wait_while_the_process_stands_still() {
    run(async {
        let listener = listen(([127, 0, 0, 1], 0).into()).expect("listener");
        let address = listener.local_addr().expect("address");
        let allowed = std::fs::read_to_string("/proc/sys/net/core/somaxconn").expect("limit");
        let burst = BURST.min(allowed.trim().parse().expect("number"));
        let mut open = Vec::new();
        for number in 0..burst {
            // Blocks the only thread, so that nothing is accepted meanwhile.
            let stream = std::net::TcpStream::connect_timeout(&address, AT_ONCE);
            open.push(stream.unwrap_or_else(|error| panic!("{number}: {error}")));
        }
        for _ in 0..burst {
            listener.accept().await.expect("connection");
        }
    });
}
