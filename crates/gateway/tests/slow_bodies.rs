//! A caller that stalls within its body, or sends it slowly, gets a final answer when its time is up.

mod raw_engine;
mod support;

use std::rc::Rc;
use std::time::Duration;

use raw_engine::RawEngines;
use ryerouter_gateway::catalogue::{CallerLimits, RequestKind};
use ryerouter_gateway::serve::ShutdownSettings;
use support::gateway_bench::{GatewayBench, run};
use support::records::{engine, route, table_with_limits};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};
use yare::parameterized;

/// How long a caller may pause.
const IDLE: Duration = Duration::from_millis(200);
/// A pause that is allowed.
const PAUSE: Duration = Duration::from_millis(50);
/// Clocks of two tasks and the timer's grain.
const GRAIN: Duration = Duration::from_millis(20);
/// An answer may come this much later than the limit.
const MOST_LATE: Duration = Duration::from_millis(500);
/// Long beside all limits.
const LONG: Duration = Duration::from_secs(10);

async fn bench(of_route: Duration) -> (Rc<RawEngines>, GatewayBench) {
    let (engines, [address]) = RawEngines::start::<1>(&[]).await;
    let mut route = route(RequestKind::Safe);
    route.timeout = of_route;
    route.path_prefix = "/x".to_owned();
    let limits = CallerLimits {
        idle_timeout: IDLE,
        ..CallerLimits::default()
    };
    let table = table_with_limits(1, vec![route], limits);
    let entries = vec![engine("e1", address, 1)];
    (engines, GatewayBench::start(Some(table), entries).await)
}

/// A caller that has sent the head of a request with a body of a hundred bytes, and the first.
async fn caller(bench: &GatewayBench, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(bench.address).await.expect("connect");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\ncontent-length: 100\r\n\r\na"
    );
    stream.write_all(head.as_bytes()).await.expect("write");
    stream
}

/// Reads the status of the answer.
async fn status(stream: &mut TcpStream) -> String {
    let mut head = [0; 12];
    let read = timeout(LONG, stream.read_exact(&mut head)).await;
    read.expect("in time").expect("answer");
    String::from_utf8_lossy(&head[9..]).into_owned()
}

fn assert_at(limit: Duration, waited: Duration) {
    assert!(waited + GRAIN >= limit, "already after {waited:?}");
    assert!(waited <= limit + MOST_LATE, "only after {waited:?}");
}

#[parameterized(
    pause_is_too_long = { "/x", LONG, IDLE, "408" },
    limit_of_the_route_comes_first = { "/x", 2 * PAUSE, 2 * PAUSE, "503" },
    there_is_no_route = { "/y", LONG, IDLE, "408" },
)]
fn stalled_body_is_refused(path: &str, of_route: Duration, limit: Duration, expected: &str) {
    run(async {
        let (engines, bench) = bench(of_route).await;
        let began = Instant::now();
        let mut stream = caller(&bench, path).await;
        assert_eq!(status(&mut stream).await, expected);
        assert_at(limit, began.elapsed());
        // What is left of the body could not be told from a request.
        let rest = timeout(LONG, stream.read_to_end(&mut Vec::new())).await;
        assert!(rest.is_ok());
        assert_eq!(bench.gateway.state().active_requests, 0);
        assert_eq!(engines.arrivals(), 0);
    });
}

/// Each byte comes in time, all of them don't.
#[parameterized(
    limit_of_the_route = { "/x", 5 * PAUSE, 5 * PAUSE, "503" },
    there_is_no_route = { "/y", LONG, IDLE, "408" },
)]
fn body_that_comes_slowly_is_refused(
    path: &str,
    of_route: Duration,
    limit: Duration,
    expected: &str,
) {
    run(async {
        let (engines, bench) = bench(of_route).await;
        let began = Instant::now();
        let (mut read, mut write) = caller(&bench, path).await.into_split();
        let writing = tokio::task::spawn_local(async move {
            while write.write_all(b"b").await.is_ok() {
                sleep(PAUSE).await;
            }
        });
        let mut head = [0; 12];
        let answer = timeout(LONG, read.read_exact(&mut head)).await;
        answer.expect("in time").expect("answer");
        assert_eq!(String::from_utf8_lossy(&head[9..]), expected);
        assert_at(limit, began.elapsed());
        writing.abort();
        assert_eq!(engines.arrivals(), 0);
    });
}

#[test]
fn body_with_pauses_that_are_allowed_is_served() {
    run(async {
        let (engines, bench) = bench(LONG).await;
        let mut stream = caller(&bench, "/x").await;
        for _ in 0..9 {
            sleep(PAUSE).await;
            stream.write_all(&[b'b'; 11]).await.expect("write");
        }
        assert_eq!(status(&mut stream).await, "200");
        assert_eq!(engines.arrivals(), 1);
    });
}

/// A planned stop waits for requests in progress, but not to the end of its grace period for this.
#[test]
fn planned_stop_does_not_wait_for_a_stalled_body() {
    run(async {
        let (_engines, bench) = bench(LONG).await;
        let mut stream = caller(&bench, "/x").await;
        while bench.gateway.state().active_requests == 0 {
            tokio::task::yield_now().await;
        }
        let began = Instant::now();
        let stop = bench.stop(ShutdownSettings {
            accept_grace: Duration::ZERO,
            grace: LONG,
        });
        stop.await.expect("stop");
        assert_at(IDLE, began.elapsed() + GRAIN);
        assert_eq!(status(&mut stream).await, "408");
    });
}
