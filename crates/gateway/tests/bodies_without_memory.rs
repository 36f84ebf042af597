//! Bodies and answers that exceed the node's memory together are held back or refused in time, and no request that has
//! run is lost by it.

mod support;

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_gateway::catalogue::{CallerLimits, RequestKind};
use ryerouter_gateway::gateway::GatewaySettings;
use ryerouter_gateway::memory::MemoryLimits;
use support::gateway_bench::{GatewayBench, run, settings};
use support::records::{self, KEY_OF_TENANT, route, table_with_limits};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local, yield_now};
use tokio::time::{Instant, timeout};
use yare::parameterized;

/// What the node may hold.
const TOTAL: usize = 1_024 * 1_024;
/// Of which long answers that wait for more may use this much on top, one at a time.
const FOR_LAST: usize = 500_000;
/// A long body; two fit.
const LONG: usize = 400_000;
const FITTING: usize = 2;
/// A short one.
const SHORT: usize = 1_000;
/// Longest body that callers may send.
const MAX_BODY: usize = 2 * TOTAL;
/// Receive buffer of a caller that reads slowly.
const NARROW_BYTES: u32 = 4_096;
/// Long beside all limits.
const AMPLE: Duration = Duration::from_secs(20);
/// A body waits no longer than this for memory.
const MOST_WAIT: Duration = Duration::from_millis(1_500);
/// A refusal that needs no wait comes within this time.
const AT_ONCE: Duration = Duration::from_millis(500);

/// How an engine tells the length of its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Announced,
    Chunked,
}

/// An engine that answers once it is told to.
struct HeldEngine {
    go: watch::Sender<bool>,
    arrivals: Cell<usize>,
    answer_bytes: usize,
    framing: Framing,
}

impl HeldEngine {
    async fn start(answer_bytes: usize, framing: Framing) -> (Rc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let engine = Rc::new(Self {
            go: watch::Sender::new(false),
            arrivals: Cell::new(0),
            answer_bytes,
            framing,
        });
        let shared = Rc::clone(&engine);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let engine = Rc::clone(&shared);
                // A caller that leaves ends its connection.
                spawn_local(async move { drop(engine.serve(stream).await) });
            }
        });
        (engine, address)
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        loop {
            let head = read_head(&mut stream).await?;
            let length = field(&head, "content-length").unwrap_or_default();
            let length = length.parse().unwrap_or_default();
            stream.read_exact(&mut vec![0; length]).await?;
            self.arrivals.set(self.arrivals.get() + 1);
            let mut told = self.go.subscribe();
            let _ = told.wait_for(|go| *go).await;
            let id = field(&head, "x-id").unwrap_or_default();
            let begin = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\n");
            let body = vec![b'a'; self.answer_bytes];
            stream.write_all(begin.as_bytes()).await?;
            match self.framing {
                Framing::Announced => {
                    let rest = format!("content-length: {}\r\n\r\n", body.len());
                    stream.write_all(rest.as_bytes()).await?;
                    stream.write_all(&body).await?;
                }
                Framing::Chunked => {
                    stream
                        .write_all(b"transfer-encoding: chunked\r\n\r\n")
                        .await?;
                    for piece in body.chunks(10_000) {
                        stream
                            .write_all(format!("{:x}\r\n", piece.len()).as_bytes())
                            .await?;
                        stream.write_all(piece).await?;
                        stream.write_all(b"\r\n").await?;
                    }
                    stream.write_all(b"0\r\n\r\n").await?;
                }
            }
        }
    }
}

async fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

fn field(head: &str, name: &str) -> Option<String> {
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    let value = fields.find(|(key, _)| key.eq_ignore_ascii_case(name))?.1;
    Some(value.trim().to_owned())
}

fn bounded() -> GatewaySettings {
    GatewaySettings {
        memory: MemoryLimits {
            for_last_answer: FOR_LAST,
            ..MemoryLimits::of_total(TOTAL)
        },
        ..settings("node-1")
    }
}

struct Bench {
    engine: Rc<HeldEngine>,
    gateway: GatewayBench,
}

impl Bench {
    async fn start(answer_bytes: usize, framing: Framing) -> Self {
        let (engine, address) = HeldEngine::start(answer_bytes, framing).await;
        let mut public = route(RequestKind::Safe);
        public.timeout = AMPLE;
        public.max_attempts = 1;
        let mut private = public.clone();
        private.name = "private".to_owned();
        private.path_prefix = "/private/".to_owned();
        private.is_public = false;
        public.path_prefix = "/public/".to_owned();
        let limits = CallerLimits {
            body_bytes: MAX_BODY,
            ..CallerLimits::default()
        };
        let table = table_with_limits(1, vec![public, private], limits);
        let mut entry = records::engine("e1", address, 1);
        entry.slots = 100;
        let gateway = GatewayBench::start_with(bounded(), Some(table), vec![entry]).await;
        Self { engine, gateway }
    }

    fn held(&self) -> usize {
        self.gateway.gateway.memory().held()
    }

    async fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.gateway.address).await;
        stream.expect("connect")
    }

    /// Sends a request, and reads its answer once all of it is sent.
    fn call(&self, path: &'static str, body_bytes: usize) -> JoinHandle<Answer> {
        let address = self.gateway.address;
        spawn_local(async move {
            let mut stream = TcpStream::connect(address).await.expect("connect");
            send(&mut stream, path, body_bytes).await;
            read_answer(&mut stream).await
        })
    }

    /// Callers whose bodies leave no room for another long one.
    async fn fill(&self) -> Vec<JoinHandle<Answer>> {
        let calls = (0..FITTING).map(|_| self.call("/public/x", LONG));
        let calls = calls.collect();
        self.until(|bench| bench.engine.arrivals.get() == FITTING)
            .await;
        calls
    }

    async fn until(&self, is_so: impl Fn(&Self) -> bool) {
        let reached = timeout(AMPLE, async {
            while !is_so(self) {
                yield_now().await;
            }
        });
        reached.await.expect("in time");
    }

    async fn until_nothing_is_held(&self) {
        self.until(|bench| bench.held() == 0).await;
        assert_eq!(self.gateway.gateway.memory().waiting(), 0);
        assert_eq!(self.gateway.gateway.metrics().held_bytes.get(), 0);
    }

    fn go(&self) {
        self.engine.go.send_replace(true);
    }
}

#[derive(Debug)]
struct Answer {
    status: String,
    retry_after: Option<String>,
    body: String,
}

async fn send(stream: &mut TcpStream, path: &str, body_bytes: usize) {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\ncontent-length: {body_bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("write");
    let body = vec![b'b'; body_bytes];
    stream.write_all(&body).await.expect("write");
}

async fn send_chunked(stream: &mut TcpStream, body_bytes: usize) {
    let head = "POST /public/x HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\n\
         transfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("write");
    for piece in vec![b'b'; body_bytes].chunks(10_000) {
        let size = format!("{:x}\r\n", piece.len());
        stream.write_all(size.as_bytes()).await.expect("write");
        stream.write_all(piece).await.expect("write");
        stream.write_all(b"\r\n").await.expect("write");
    }
    stream.write_all(b"0\r\n\r\n").await.expect("write");
}

async fn read_answer(stream: &mut TcpStream) -> Answer {
    let head = timeout(AMPLE, read_head(stream)).await;
    let head = head.expect("in time").expect("answer");
    let length = field(&head, "content-length").expect("length");
    let mut body = vec![0; length.parse().expect("length")];
    stream.read_exact(&mut body).await.expect("whole answer");
    Answer {
        status: head.split(' ').nth(1).unwrap_or_default().to_owned(),
        retry_after: field(&head, "retry-after"),
        body: String::from_utf8_lossy(&body).into_owned(),
    }
}

fn assert_refused(answer: &Answer) {
    assert_eq!(answer.status, "503", "{answer:?}");
    assert!(answer.retry_after.is_some(), "{answer:?}");
    assert!(answer.body.contains("no_memory"), "{answer:?}");
}

async fn all_served(calls: Vec<JoinHandle<Answer>>) {
    for call in calls {
        assert_eq!(call.await.expect("task").status, "200");
    }
}

#[test]
fn body_beyond_memory_is_refused_after_a_short_wait() {
    run(async {
        let bench = Bench::start(2, Framing::Announced).await;
        let calls = bench.fill().await;
        let began = Instant::now();
        let mut stream = bench.connect().await;
        send(&mut stream, "/public/x", LONG).await;
        assert_refused(&read_answer(&mut stream).await);
        assert!(began.elapsed() <= MOST_WAIT, "{:?}", began.elapsed());
        assert!(bench.held() <= TOTAL);
        assert_eq!(bench.engine.arrivals.get(), FITTING);
        let refused = &bench.gateway.gateway.metrics().bodies_refused;
        assert_eq!(refused.with_label_values(&["long"]).get(), 1);
        bench.go();
        all_served(calls).await;
        // The rest of the body was discarded, so the connection serves the next request.
        send(&mut stream, "/public/x", LONG).await;
        assert_eq!(read_answer(&mut stream).await.status, "200");
        bench.until_nothing_is_held().await;
    });
}

#[test]
fn body_that_waits_is_read_once_another_request_has_ended() {
    run(async {
        let bench = Bench::start(2, Framing::Announced).await;
        let mut calls = bench.fill().await;
        calls.push(bench.call("/public/x", LONG));
        bench
            .until(|bench| bench.gateway.gateway.memory().waiting() == 1)
            .await;
        bench.go();
        all_served(calls).await;
        bench.until_nothing_is_held().await;
    });
}

#[test]
fn short_body_is_not_held_up_by_long_ones() {
    run(async {
        let bench = Bench::start(2, Framing::Announced).await;
        let mut calls = bench.fill().await;
        let waiting = bench.call("/public/x", LONG);
        bench
            .until(|bench| bench.gateway.gateway.memory().waiting() == 1)
            .await;
        calls.push(bench.call("/public/x", SHORT));
        bench
            .until(|bench| bench.engine.arrivals.get() == FITTING + 1)
            .await;
        assert!(!waiting.is_finished());
        bench.go();
        calls.push(waiting);
        all_served(calls).await;
    });
}

#[parameterized(
    without_a_key = { "/private/x", "401" },
    without_a_route = { "/nowhere/x", "404" },
)]
fn body_of_a_caller_who_is_not_served_takes_no_memory(path: &'static str, status: &str) {
    run(async move {
        let bench = Bench::start(2, Framing::Announced).await;
        let calls = bench.fill().await;
        let held = bench.held();
        let mut stream = bench.connect().await;
        send(&mut stream, path, LONG).await;
        assert_eq!(read_answer(&mut stream).await.status, status);
        assert_eq!(bench.held(), held);
        bench.go();
        all_served(calls).await;
    });
}

/// Also while no memory is left, a key is looked at first.
#[test]
fn body_of_a_caller_with_a_key_is_read() {
    run(async {
        let bench = Bench::start(2, Framing::Announced).await;
        bench.go();
        let mut stream = bench.connect().await;
        let head = format!(
            "POST /private/x HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\nx-key: {KEY_OF_TENANT}\r\n\
             content-length: 1\r\n\r\nb"
        );
        stream.write_all(head.as_bytes()).await.expect("write");
        assert_eq!(read_answer(&mut stream).await.status, "200");
    });
}

#[test]
fn body_that_no_memory_can_hold_is_refused_at_once() {
    run(async {
        let bench = Bench::start(2, Framing::Announced).await;
        let mut stream = bench.connect().await;
        let head = format!(
            "POST /public/x HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\ncontent-length: {MAX_BODY}\r\n\r\n"
        );
        let began = Instant::now();
        stream.write_all(head.as_bytes()).await.expect("write");
        assert_refused(&read_answer(&mut stream).await);
        assert!(began.elapsed() <= AT_ONCE, "{:?}", began.elapsed());
        // The caller may send it nevertheless, and goes on with the next one.
        let body = vec![b'b'; MAX_BODY];
        stream.write_all(&body).await.expect("write");
        bench.go();
        send(&mut stream, "/public/x", SHORT).await;
        assert_eq!(read_answer(&mut stream).await.status, "200");
    });
}

#[test]
fn chunked_body_takes_memory_as_it_grows() {
    run(async {
        let bench = Bench::start(2, Framing::Announced).await;
        bench.go();
        let mut stream = bench.connect().await;
        send_chunked(&mut stream, LONG).await;
        assert_eq!(read_answer(&mut stream).await.status, "200");
        bench.until_nothing_is_held().await;
    });
}

#[test]
fn chunked_body_that_outgrows_memory_is_refused() {
    run(async {
        let bench = Bench::start(2, Framing::Announced).await;
        let calls = bench.fill().await;
        let held = bench.held();
        let mut stream = bench.connect().await;
        send_chunked(&mut stream, 2 * LONG).await;
        assert_refused(&read_answer(&mut stream).await);
        assert_eq!(bench.held(), held);
        bench.go();
        all_served(calls).await;
        bench.until_nothing_is_held().await;
    });
}

#[test]
fn body_of_a_caller_who_left_is_given_back() {
    run(async {
        let bench = Bench::start(2, Framing::Announced).await;
        let mut stream = bench.connect().await;
        let head = format!(
            "POST /public/x HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\ncontent-length: {LONG}\r\n\r\nb"
        );
        stream.write_all(head.as_bytes()).await.expect("write");
        bench.until(|bench| bench.held() == LONG).await;
        drop(stream);
        bench.until_nothing_is_held().await;
    });
}

/// Together they are several times what may be held.
#[parameterized(
    announced = { Framing::Announced },
    chunked = { Framing::Chunked },
)]
fn long_answers_are_delivered_whole_one_after_the_other(framing: Framing) {
    run(async move {
        let bench = Bench::start(LONG, framing).await;
        let callers = 8;
        let mut streams = Vec::new();
        for _ in 0..callers {
            let socket = TcpSocket::new_v4().expect("socket");
            socket.set_recv_buffer_size(NARROW_BYTES).expect("buffer");
            let mut stream = socket
                .connect(bench.gateway.address)
                .await
                .expect("connect");
            send(&mut stream, "/public/x", SHORT).await;
            streams.push(stream);
        }
        bench
            .until(|bench| bench.engine.arrivals.get() == callers)
            .await;
        bench.go();
        // Nobody reads yet: the node takes what it may, and no more.
        bench.until(|bench| bench.held() > TOTAL - LONG).await;
        let mut calls = Vec::new();
        for mut stream in streams {
            calls.push(spawn_local(async move { read_answer(&mut stream).await }));
        }
        while calls.iter().any(|call| !call.is_finished()) {
            assert!(bench.held() <= TOTAL + FOR_LAST, "{}", bench.held());
            yield_now().await;
        }
        for call in calls {
            let answer = call.await.expect("task");
            assert_eq!((answer.status.as_str(), answer.body.len()), ("200", LONG));
        }
        bench.until_nothing_is_held().await;
    });
}
