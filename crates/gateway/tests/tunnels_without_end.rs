//! Bytes without end that come through a tunnel: the blame falls on who sends them, the engine or the node between.

#[allow(dead_code, reason = "these tests use part of it")]
mod endless_engine;
mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use endless_engine::{EndlessEngine, Script};
use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::catalogue::RequestKind;
use ryerouter_gateway::engines::Engine;
use support::engine_proxy::Link;
use support::gateway_bench::run;
use support::linked_nodes::{LinkedNode, LinkedNodes};
use support::records::{route, table};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;
use yare::parameterized;

const ENGINES: usize = 8;
const BAD_ENGINES: usize = 2;
/// Callers that arrive after this time are to be served.
const SETTLING_TIME: Duration = Duration::from_secs(2);
const LOAD_TIME: Duration = Duration::from_secs(3);
const LEAST_SERVED: f64 = 0.98;

const WHOLE: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length: 2\r\n\r\nok";
const STREAM: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\n\
     content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const WHOLE_STREAM: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\n\
     content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
     f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ntransfer-encoding: chunked\r\n\r\n";

const COMMENTS: &str = "10\r\n: aaaaaaaaaaaaa\n\r\n";
const DATA: &str = "10\r\ndata: aaaaaaaaaa\r\n";
const FIELD: &str = "x-a: aaaaaaaaaaaaaaaaa\r\n";
const INTERIM_HEAD: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const NOISE: &str = "\u{7f}~\u{1}";
/// A chunk of four kibibytes.
fn long_chunk() -> &'static str {
    format!("1000\r\n{}\r\n", "a".repeat(4_096)).leak()
}

/// The same, of an event.
fn long_event_chunk() -> &'static str {
    format!("1000\r\n{}\r\n", "data: aa".repeat(512)).leak()
}

/// Between writes of some twenty bytes.
const SLOW: Duration = Duration::from_millis(20);

/// A node without links to its engines, of which the first ones have this script.
struct Site {
    nodes: LinkedNodes,
    bad: Vec<Rc<EndlessEngine>>,
}

impl Site {
    async fn start(nodes: usize, kind: RequestKind, bad: Script, bad_count: usize) -> Self {
        let sound = match kind {
            RequestKind::Streaming => Script::whole(WHOLE_STREAM),
            _ => Script::whole(WHOLE),
        };
        let mut engines = Vec::new();
        let mut addresses = Vec::new();
        for number in 0..ENGINES {
            let script = if number < bad_count { bad } else { sound };
            let (engine, address) = EndlessEngine::start(script).await;
            engines.push(engine);
            addresses.push(address);
        }
        engines.truncate(bad_count);
        let table = || table(1, vec![route(kind)]);
        let nodes = LinkedNodes::start_before(nodes, &addresses, table).await;
        nodes.nodes[0].set_links(Link::Silent);
        Self {
            nodes,
            bad: engines,
        }
    }

    fn cut_node(&self) -> Rc<LinkedNode> {
        Rc::clone(&self.nodes.nodes[0])
    }

    /// The share of the cut node's callers that were served, once it has settled.
    async fn served_share(&self) -> f64 {
        self.cut_node().served_share(SETTLING_TIME).await;
        self.cut_node().served_share(LOAD_TIME).await
    }

    /// The numbers of the engines of which this is true at the cut node.
    fn engines_that(&self, is_counted: impl Fn(&Engine) -> bool) -> Vec<usize> {
        let node = self.cut_node();
        let state = node.bench.gateway.state();
        let is_counted = |number: &usize| {
            let name = BackEndName::new(format!("e{number}"));
            state.engines.get(&name).is_some_and(&is_counted)
        };
        (0..ENGINES).filter(is_counted).collect()
    }
}

#[parameterized(
    comments = { RequestKind::Streaming, Script::endless(STREAM, COMMENTS) },
    slow_comments = { RequestKind::Streaming, Script::endless(STREAM, COMMENTS).slow(SLOW) },
    event = { RequestKind::Streaming, Script::endless(STREAM, long_event_chunk()) },
    slow_event = { RequestKind::Streaming, Script::endless(STREAM, DATA).slow(SLOW) },
    interim_heads = { RequestKind::Streaming, Script::endless("", INTERIM_HEAD) },
    slow_interim_heads = { RequestKind::Streaming, Script::endless("", INTERIM_HEAD).slow(SLOW) },
    slow_head = { RequestKind::Streaming, Script::endless("HTTP/1.1 200 OK\r\n", FIELD).slow(SLOW) },
    noise = { RequestKind::Streaming, Script::endless("", NOISE) },
    close_without_an_event = { RequestKind::Streaming, Script::closed("HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\n\r\n") },
    plain_answer = { RequestKind::Safe, Script::endless(CHUNKED, long_chunk()).fast() },
    slow_plain_answer = { RequestKind::Safe, Script::endless(CHUNKED, DATA).slow(SLOW) },
)]
fn engine_behind_another_node_is_blamed(kind: RequestKind, script: Script) {
    run(async move {
        let site = Site::start(2, kind, script, BAD_ENGINES).await;
        let share = site.served_share().await;
        let tries: usize = site.bad.iter().map(|engine| engine.tries()).sum();
        let taken = site.bad.iter().map(|engine| engine.most_taken()).max();
        let serving = site.engines_that(|engine| engine.health.is_serving());
        let crashed = site.engines_that(|engine| engine.crashed_at().is_some());
        let seen = format!(
            "served {share:.3}, tries {tries}, most taken {taken:?}, serving {serving:?}, crashed {crashed:?}"
        );
        println!("{seen}");
        assert!(share >= LEAST_SERVED, "{seen}");
        // A sound engine may have been out of reach when the links were cut.
        assert!(
            serving.iter().all(|number| *number >= BAD_ENGINES),
            "{seen}"
        );
        assert!(!serving.is_empty(), "{seen}");
        assert_eq!(crashed, Vec::<usize>::new(), "{seen}");
    });
}

const OPEN: &[u8] = b"{\"tunnel\":\"open\"}\n";

/// A node that opens each tunnel, and sends these bytes without end.
async fn endless_node(repeated: &'static [u8], interval: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(send_without_end(stream, repeated, interval));
        }
    });
    address
}

async fn send_without_end(stream: TcpStream, repeated: &'static [u8], interval: Duration) {
    let mut stream = BufReader::new(stream);
    let mut question = String::new();
    let asked = stream.read_line(&mut question).await.is_ok();
    let mut is_open = asked && stream.write_all(OPEN).await.is_ok();
    while is_open {
        is_open = stream.write_all(repeated).await.is_ok();
        sleep(interval).await;
    }
}

const FAST: Duration = Duration::from_millis(1);

/// Bytes that are no frames of a tunnel say nothing about an engine.
#[parameterized(
    text = { b"HTTP/1.1 100 Continue\r\n\r\n", FAST },
    comments = { b": aaaaaaa\n", FAST },
    zeros = { &[0; 1_024], FAST },
    ones = { &[0xff; 1_024], FAST },
    slow_text = { b"HTTP/1.1 200 OK\r\nx-a: a", SLOW },
    slow_zeros = { &[0; 20], SLOW },
    slow_ones = { &[0xff; 20], SLOW },
    slow_frame = { b"\x00\x0f\x00\x00aaaaaaaaaaaaaaaa", SLOW },
)]
fn node_between_is_blamed(repeated: &'static [u8], interval: Duration) {
    run(async move {
        let kind = RequestKind::Safe;
        let site = Site::start(3, kind, Script::whole(WHOLE), 0).await;
        let node = endless_node(repeated, interval).await;
        site.nodes.nodes[2].tunnels.redirect(node);
        let share = site.served_share().await;
        let serving = site.engines_that(|engine| engine.health.is_serving());
        let crashed = site.engines_that(|engine| engine.crashed_at().is_some());
        let tunnels = site.nodes.nodes[2].tunnels.accepted.get();
        let seen = format!(
            "served {share:.3}, tunnels {tunnels}, serving {serving:?}, crashed {crashed:?}"
        );
        println!("{seen}");
        assert!(share >= LEAST_SERVED, "{seen}");
        assert_eq!(serving, Vec::from_iter(0..ENGINES), "{seen}");
        assert_eq!(crashed, Vec::<usize>::new(), "{seen}");
    });
}
