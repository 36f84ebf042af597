//! Tunnels: what ends an answer, who is blamed, and when none is opened.

mod support;

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::StatusCode;
use ryerouter_core::identity::{BackEndName, NodeName};
use ryerouter_gateway::catalogue::RequestKind;
use ryerouter_gateway::serve::ShutdownSettings;
use ryerouter_gateway::tunnel::{Answer, Frame, FrameCodec, Question, dial};
use ryerouter_gateway::upstream::ConnectSettings;
use support::engine_proxy::Link;
use support::gateway_bench::run;
use support::linked_nodes::LinkedNodes;
use support::records::{route, table};
use support::scripted_engine::Step;
use support::test_dialect::{ID, PATIENCE_MS};
use tokio::time::{Instant, sleep};
use tokio_util::codec::{Decoder, Encoder};
use yare::parameterized;

const HEADERS: [(&str, &str); 2] = [(ID, "r"), (PATIENCE_MS, "3000")];
/// Within this time after a cut a node knows of it.
const NOTICE: Duration = Duration::from_secs(1);
/// More requests than come until then.
const MANY: usize = 200;
const EVENTS: &[&str] = &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];

/// Two nodes before one engine; the first has no link to it and knows that.
async fn cut_node(kind: RequestKind) -> LinkedNodes {
    let nodes = LinkedNodes::start(2, 1, || table(1, vec![route(kind)])).await;
    nodes.nodes[0].set_links(Link::Silent);
    let engine = &nodes.engines[0];
    if kind == RequestKind::Streaming {
        (0..MANY).for_each(|_| engine.push(Step::Events(EVENTS)));
    }
    nodes.load(NOTICE).await;
    engine.clear_steps();
    nodes
}

fn decoded(frames: &[Frame]) -> Vec<Frame> {
    let mut buffer = BytesMut::new();
    for frame in frames {
        FrameCodec
            .encode(frame.clone(), &mut buffer)
            .expect("encoded");
    }
    let mut read = Vec::new();
    let mut arrived = BytesMut::new();
    // The bytes arrive one by one.
    for byte in buffer {
        arrived.extend_from_slice(&[byte]);
        read.extend(FrameCodec.decode(&mut arrived).expect("frame"));
    }
    read
}

#[test]
fn frames_are_read_as_they_were_written() {
    let frames = [
        Frame::Data(Bytes::from_static(b"first")),
        Frame::Data(Bytes::from(vec![7; 100_000])),
        Frame::End,
        Frame::Reset,
    ];
    assert_eq!(decoded(&frames), frames);
}

/// An answer that ends with its connection would look whole when the node is killed that passes it on.
#[test]
fn end_of_a_tunnel_without_the_end_of_the_engine_is_an_error() {
    let mut none = BytesMut::new();
    assert!(FrameCodec.decode_eof(&mut none).is_err());
    let mut cut = BytesMut::from(&[0, 0, 0, 9, 1, 2][..]);
    assert!(FrameCodec.decode_eof(&mut cut).is_err());
}

#[test]
fn length_that_makes_no_sense_is_an_error() {
    let mut buffer = BytesMut::from(&[0x7f, 0xff, 0xff, 0xff][..]);
    assert!(FrameCodec.decode(&mut buffer).is_err());
}

#[test]
fn stream_goes_through_another_node_event_by_event() {
    run(async {
        let nodes = cut_node(RequestKind::Streaming).await;
        nodes.engines[0].push(Step::Events(EVENTS));
        let answer = nodes.nodes[0].bench.call("POST", &HEADERS, "").await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.body.as_deref(), Ok(EVENTS.concat().as_str()));
    });
}

/// Events that arrive through a tunnel which is lost must not end the caller's answer as if it were whole, and the engine
/// has not crashed.
#[test]
fn loss_of_the_node_that_passes_a_stream_on_is_no_crash_of_the_engine() {
    run(async {
        let nodes = cut_node(RequestKind::Streaming).await;
        let events = &["id: 1\ndata: a\n\n"];
        nodes.engines[0].push(Step::StallingEvents(events));
        let cut = Rc::clone(&nodes.nodes[0]);
        let call = cut.bench.call("POST", &HEADERS, "");
        let kill = async {
            sleep(Duration::from_millis(300)).await;
            nodes.nodes[1].tunnels.set(Link::Reset);
        };
        let (answer, ()) = tokio::join!(call, kill);
        assert!(answer.body.is_err(), "{answer:?}");
        let state = cut.bench.gateway.state();
        let engine = state.engines.get(&BackEndName::new("e0")).expect("engine");
        assert_eq!(engine.crashed_at(), None);
    });
}

/// The caller's leaving must end the run at the engine.
#[test]
fn engine_is_left_when_the_caller_leaves() {
    run(async {
        let nodes = cut_node(RequestKind::Safe).await;
        nodes.engines[0].push(Step::Silence);
        let call = nodes.nodes[0].bench.call("POST", &HEADERS, "");
        let left = tokio::time::timeout(Duration::from_millis(200), call).await;
        assert!(left.is_err(), "{left:?}");
        let abandoned = nodes.engines[0].until_abandoned();
        let in_time = tokio::time::timeout(Duration::from_millis(400), abandoned).await;
        assert!(in_time.is_ok());
    });
}

/// Where no node reaches the engines, callers must be told at once.
#[test]
fn request_is_refused_soon_when_all_nodes_are_cut_off() {
    run(async {
        let nodes = LinkedNodes::start(3, 2, || table(1, vec![route(RequestKind::Unsafe)])).await;
        nodes.load(Duration::from_millis(300)).await;
        for node in &nodes.nodes {
            node.set_links(Link::Silent);
        }
        nodes.load(Duration::from_secs(4)).await;
        let mut slow = 0;
        for _ in 0..10 {
            let began = Instant::now();
            let answer = nodes.nodes[0].bench.call("POST", &HEADERS, "").await;
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
            assert!(answer.retry_after.is_some());
            slow += usize::from(began.elapsed() > Duration::from_millis(100));
            sleep(Duration::from_millis(50)).await;
        }
        // A request may probe whether an engine is back.
        assert!(slow <= 4, "{slow}");
    });
}

/// What this node answers another one that asks for a tunnel.
async fn ask(nodes: &LinkedNodes, asked: usize, engine: &str) -> Result<(), String> {
    let address = nodes.nodes[asked]
        .bench
        .gateway
        .settings()
        .identity
        .peer_address;
    let question = Question {
        from: NodeName::new("other"),
        engine: BackEndName::new(engine),
    };
    let dialed = dial(address, &question, &ConnectSettings::default()).await;
    dialed.map(drop).map_err(|error| error.to_string())
}

#[test]
fn node_passes_on_connections_to_listed_engines_only() {
    run(async {
        let nodes = cut_node(RequestKind::Safe).await;
        assert_eq!(ask(&nodes, 1, "e0").await, Ok(()));
        let refusal = ask(&nodes, 1, "e9").await;
        assert_eq!(refusal, Err("node refused: unlisted".to_owned()));
    });
}

/// A tunnel through a node that is cut off itself would go round in circles.
#[test]
fn cut_node_passes_nothing_on() {
    run(async {
        let nodes = cut_node(RequestKind::Safe).await;
        let refusal = ask(&nodes, 0, "e0").await;
        assert_eq!(refusal, Err("node refused: blocked".to_owned()));
    });
}

#[test]
fn node_that_stops_opens_no_more_tunnels_and_ends_those_that_are_open() {
    run(async {
        let nodes = cut_node(RequestKind::Safe).await;
        nodes.engines[0].push(Step::Late(Duration::from_millis(800)));
        let cut = Rc::clone(&nodes.nodes[0]);
        let call = tokio::task::spawn_local(async move { cut.call().await });
        sleep(Duration::from_millis(200)).await;
        let stopping = nodes.nodes[1].bench.stop(ShutdownSettings {
            accept_grace: Duration::ZERO,
            grace: Duration::from_secs(5),
        });
        let refusal = ask(&nodes, 1, "e0").await;
        assert_eq!(refusal, Err("node refused: leaving".to_owned()));
        assert!(call.await.expect("call"), "the request was cut");
        let stopped = tokio::time::timeout(Duration::from_secs(4), stopping).await;
        assert!(stopped.is_ok(), "idle tunnels keep a node from stopping");
    });
}

/// Builds later than this one may answer with other words.
#[parameterized(
    open = { r#"{"tunnel":"open","since":3}"#, Answer::Open },
    other = { r#"{"tunnel":"tired"}"#, Answer::Unknown },
)]
fn answer_of_another_build_is_read(line: &str, expected: Answer) {
    assert_eq!(
        serde_json::from_str::<Answer>(line).expect("answer"),
        expected
    );
}
