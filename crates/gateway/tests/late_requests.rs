//! Requests that reach a node while it stops: they are answered whole, or refused unrun in time to go elsewhere.

mod support;

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use ryerouter_core::Timestamp;
use ryerouter_gateway::catalogue::{CallerLimits, RequestKind, Route};
use ryerouter_gateway::engines::AnswerDurations;
use ryerouter_gateway::serve::ShutdownSettings;
use support::gateway_bench::{GatewayBench, run_in_virtual_time};
use support::records::{engine, route, table_with_limits};
use support::scripted_engine::read_request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;
use yare::parameterized;

const ACCEPT_GRACE: Duration = Duration::from_millis(2_500);
const SEEDS: u64 = 50;
const LATE_REQUESTS: u64 = 12;
const SECOND: Duration = Duration::from_secs(1);

/// Engines that take as long for a request as its id says, in milliseconds before a dash.
#[derive(Default)]
struct Engines {
    started: RefCell<HashSet<String>>,
}

impl Engines {
    async fn start() -> (Rc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let engines = Rc::new(Self::default());
        let shared = Rc::clone(&engines);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let engines = Rc::clone(&shared);
                spawn_local(async move { engines.serve(stream).await });
            }
        });
        (engines, address)
    }

    async fn serve(&self, mut stream: TcpStream) {
        while let Some((head, _)) = read_request(&mut stream).await {
            let id = head.lines().find_map(|line| line.strip_prefix("x-id: "));
            let id = id.expect("id").trim().to_owned();
            let takes = id.split('-').next().and_then(|millis| millis.parse().ok());
            self.started.borrow_mut().insert(id.clone());
            sleep(Duration::from_millis(takes.expect("time"))).await;
            let answer = format!(
                "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 2\r\n\r\nok"
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn has_started(&self, id: &str) -> bool {
        self.started.borrow().contains(id)
    }
}

/// A request that is sent on a connection that was opened before.
struct Late {
    id: String,
    /// From the beginning of the stop until its head is sent.
    sent_after: Duration,
    /// Until its body follows.
    body_after: Duration,
}

/// The answer's status; `None` if the connection ended without a whole answer.
async fn ask(mut stream: TcpStream, late: Rc<Late>) -> Option<u16> {
    sleep(late.sent_after).await;
    let id = &late.id;
    let head = format!(
        "POST /x HTTP/1.1\r\nhost: shop.example\r\nx-id: {id}\r\ncontent-length: 2\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    sleep(late.body_after).await;
    stream.write_all(b"ok").await.ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await.ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let length = lines.find_map(|line| line.strip_prefix("content-length: "))?;
    let length: usize = length.parse().ok()?;
    (body.len() == length).then_some(status)
}

async fn start(kind: RequestKind, timeout: Duration) -> (GatewayBench, Rc<Engines>) {
    let (engines, address) = Engines::start().await;
    let route = Route {
        timeout,
        ..route(kind)
    };
    let table = table_with_limits(1, vec![route], CallerLimits::default());
    let bench = GatewayBench::start(Some(table), vec![engine("e1", address, 1)]).await;
    (bench, engines)
}

/// Lets a node stop; ends the connections of those still waiting, as the end of its process does. Statuses, `None`
/// without an answer.
async fn play(bench: &GatewayBench, grace: Duration, requests: &[Rc<Late>]) -> Vec<Option<u16>> {
    let mut asked: Vec<JoinHandle<Option<u16>>> = Vec::new();
    for late in requests {
        let stream = TcpStream::connect(bench.address).await.expect("connect");
        asked.push(spawn_local(ask(stream, Rc::clone(late))));
    }
    sleep(Duration::from_millis(20)).await;
    let settings = ShutdownSettings {
        accept_grace: ACCEPT_GRACE,
        grace,
    };
    bench.stop(settings).await.expect("stop");
    // What was written reaches its caller.
    sleep(Duration::from_millis(20)).await;
    let mut statuses = Vec::new();
    for asked in asked {
        let is_over = asked.is_finished();
        asked.abort();
        statuses.push(match is_over {
            true => asked.await.expect("asked"),
            false => None,
        });
    }
    statuses
}

/// Requests that came late were passed on, and cut without an answer when the process ended.
#[parameterized(
    in_time = { 2_000, 300, 0, 0, Some(200) },
    late_and_long = { 4_000, 3_000, 1_500, 0, Some(503) },
    body_late = { 3_000, 300, 1_500, 1_500, Some(503) },
    body_late_and_in_time = { 3_000, 300, 300, 500, Some(200) },
    time_limit_longer_than_the_grace = { 10_000, 300, 0, 0, Some(503) },
)]
fn late_request_is_answered_or_refused_unrun(
    timeout_ms: u64,
    takes_ms: u64,
    sent_after_ms: u64,
    body_after_ms: u64,
    expected: Option<u16>,
) {
    run_in_virtual_time(async move {
        let timeout = Duration::from_millis(timeout_ms);
        let (bench, engines) = start(RequestKind::Unsafe, timeout).await;
        let late = Rc::new(Late {
            id: format!("{takes_ms}-r1"),
            sent_after: Duration::from_millis(sent_after_ms + 50),
            body_after: Duration::from_millis(body_after_ms),
        });
        let grace = Duration::from_millis(4_700);
        let statuses = play(&bench, grace, &[Rc::clone(&late)]).await;
        assert_eq!(statuses, [expected]);
        assert_eq!(engines.has_started(&late.id), expected == Some(200));
    });
}

/// Where answers are known to be quick, a long time limit is no reason to refuse a request.
#[test]
fn late_request_runs_where_answers_are_known_to_be_quick() {
    run_in_virtual_time(async {
        let (bench, _engines) = start(RequestKind::Unsafe, 30 * SECOND).await;
        for number in 0..25 {
            let id = format!("100-w{number}");
            let answer = bench.call("POST", &[("x-id", &id)], "ok").await;
            assert_eq!(answer.status.as_u16(), 200);
        }
        let late = Rc::new(Late {
            id: "100-r1".to_owned(),
            sent_after: SECOND,
            body_after: Duration::ZERO,
        });
        let statuses = play(&bench, Duration::from_millis(4_700), &[late]).await;
        assert_eq!(statuses, [Some(200)]);
    });
}

/// The same over seeded stops: requests of 0.1 to 12 s, whole or in pieces.
#[parameterized(
    unrepeatable = { RequestKind::Unsafe },
    repeatable = { RequestKind::Safe },
)]
fn no_late_request_is_cut(kind: RequestKind) {
    for seed in 0..SEEDS {
        run_in_virtual_time(async move {
            let mut random = StdRng::seed_from_u64(seed);
            let timeout = Duration::from_millis(random.random_range(500..15_000));
            let grace = Duration::from_millis(random.random_range(700..7_700));
            let (bench, engines) = start(kind, timeout).await;
            let late = |number| {
                let takes = random.random_range(100..12_000);
                let is_whole = random.random_bool(0.5);
                let body = if is_whole {
                    0
                } else {
                    random.random_range(50..2_500)
                };
                Rc::new(Late {
                    id: format!("{takes}-r{number}"),
                    sent_after: Duration::from_millis(random.random_range(50..2_500)),
                    body_after: Duration::from_millis(body),
                })
            };
            let requests: Vec<_> = (0..LATE_REQUESTS).map(late).collect();
            let statuses = play(&bench, grace, &requests).await;
            for (late, status) in requests.iter().zip(statuses) {
                let is_cut = status.is_none() && engines.has_started(&late.id);
                assert!(!is_cut, "seed {seed}: {} cut after {grace:?}", late.id);
            }
        });
    }
}

#[test]
fn bound_of_answers_follows_what_they_took_lately() {
    let mut durations = AnswerDurations::default();
    let at = |seconds| Timestamp::from_millis(1_000_000).after(SECOND * seconds);
    for _ in 0..19 {
        durations.note("r", SECOND, 100, at(0));
    }
    assert_eq!(durations.bound("r", 10), None);
    durations.note("r", 3 * SECOND, 100, at(0));
    assert_eq!(durations.bound("r", 10), Some(6 * SECOND));
    assert_eq!(durations.bound("r", 101), None, "longer than any before");
    assert_eq!(durations.bound("other", 10), None);
    for second in [40, 80] {
        for _ in 0..20 {
            durations.note("r", SECOND, 100, at(second));
        }
    }
    assert_eq!(durations.bound("r", 10), Some(2 * SECOND));
}
