//! Streams whose events come from engines of two software versions, which do not fit together.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hyper::StatusCode;
use ryerouter_core::continuation::{HOLDERS, SETTLING_TIME};
use ryerouter_gateway::peers::Datagram;
use support::gateway_bench::run;
use support::log_lines::value;
use support::versioned_engines::EVENTS;
use support::versioned_nodes::{Attempt, Stream, VersionedNodes};
use tokio::time::sleep;
use yare::parameterized;

/// Streams of each case; with a blind choice between two versions almost none of these runs stays unmixed.
const STREAMS: usize = 24;
/// Share of streams that go on, of those whose callers take them up again.
const MIN_CONTINUED: f64 = 0.95;
/// Longest wait for answers at a node that has just started, in milliseconds.
const LOOKUP_LIMIT_MS: u64 = 1_000;
/// A node that has run so long has heard of the others.
const DISCOVERY_TIME: Duration = Duration::from_millis(3_100);

/// What happens between two attempts of a caller.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Between {
    Nothing,
    /// The node that began the stream is killed and starts again.
    FirstNodeRestarts,
    /// Two of four nodes do, one after the other.
    TwoNodesRestart,
}

#[parameterized(
    same_node = { 0, 1, Between::Nothing },
    other_node = { 1, 1, Between::Nothing },
    three_tries_at_three_nodes = { 1, 3, Between::Nothing },
    first_node_restarts = { 1, 1, Between::FirstNodeRestarts },
    first_node_itself_after_its_restart = { 0, 1, Between::FirstNodeRestarts },
    two_of_four_nodes_restart = { 3, 1, Between::TwoNodesRestart },
)]
fn stream_that_its_caller_takes_up_goes_on_at_its_version(
    step: usize,
    cuts: usize,
    between: Between,
) {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1", "v1.2"]).await;
        let mut streams: Vec<_> = (0..STREAMS).map(|_| nodes.new_stream()).collect();
        read_all(&nodes, &mut streams, 0, 2).await;
        match between {
            Between::Nothing => {}
            Between::FirstNodeRestarts => nodes.restart(&[0]).await,
            Between::TwoNodesRestart => {
                nodes.restart(&[0]).await;
                nodes.restart(&[1]).await;
            }
        }
        for cut in 1..=cuts {
            let most = if cut == cuts { EVENTS } else { 2 };
            read_all(&nodes, &mut streams, cut * step, most).await;
        }
        check(&streams);
    });
}

/// An engine that fails in the middle of an answer is replaced within that answer.
#[test]
fn stream_that_its_engine_breaks_off_goes_on_at_its_version() {
    run(async {
        let nodes = VersionedNodes::start(1, &["v1", "v1.2"]).await;
        nodes.start_engine("v1").await;
        nodes.start_engine("v1.2").await;
        nodes.list();
        for engine in nodes.engines.borrow().iter().take(4) {
            engine.behaviour().breaks_after.set(Some(3));
        }
        let mut streams: Vec<_> = (0..STREAMS).map(|_| nodes.new_stream()).collect();
        read_all(&nodes, &mut streams, 0, EVENTS).await;
        let mixed = streams.iter().filter(|stream| stream.is_mixed()).count();
        assert_eq!(mixed, 0, "mixed streams of {STREAMS}");
        let whole = streams.iter().filter(|stream| stream.is_whole()).count();
        assert!(whole > 0, "no stream went on");
    });
}

/// Every caller asks the node of a number for the rest of its stream.
async fn read_all(
    nodes: &VersionedNodes,
    streams: &mut [Stream],
    node: usize,
    most: u32,
) -> Vec<Attempt> {
    let node = nodes.node(node);
    let reads = streams.iter_mut().map(|stream| stream.read(&node, most));
    join_all(reads).await
}

fn check(streams: &[Stream]) {
    let mixed = streams.iter().filter(|stream| stream.is_mixed()).count();
    assert_eq!(mixed, 0, "mixed streams of {}", streams.len());
    let whole = streams.iter().filter(|stream| stream.is_whole()).count();
    let share = whole as f64 / streams.len() as f64;
    assert!(share >= MIN_CONTINUED, "only {share} went on");
}

/// A stream begins while one version serves; the second one appears before its caller comes back.
#[parameterized(
    at_the_same_node = { 0, false },
    at_another_node = { 1, false },
    at_another_node_after_the_first_was_killed = { 1, true },
)]
fn stream_begun_before_a_second_version_appears_goes_on_at_its_version(
    node: usize,
    is_first_killed: bool,
) {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1"]).await;
        let mut streams: Vec<_> = (0..STREAMS).map(|_| nodes.new_stream()).collect();
        read_all(&nodes, &mut streams, 0, 2).await;
        nodes.start_engine("v1.2").await;
        nodes.start_engine("v1.2").await;
        nodes.list();
        if is_first_killed {
            nodes.restart(&[0]).await;
        }
        read_all(&nodes, &mut streams, node, EVENTS).await;
        check(&streams);
        // New streams begin at the second version too, once every node knows it.
        sleep(SETTLING_TIME).await;
        let mut streams: Vec<_> = (0..STREAMS).map(|_| nodes.new_stream()).collect();
        read_all(&nodes, &mut streams, 0, EVENTS).await;
        let is_second = |stream: &&Stream| stream.versions.contains("v1.2");
        assert!(streams.iter().filter(is_second).count() > 0);
    });
}

/// Streams of the version that is left go on; the others can't, and their callers are not told to come back.
#[test]
fn stream_whose_version_has_left_is_refused_for_good() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1", "v1.2"]).await;
        // Nodes that have just started don't take their list for whole.
        sleep(DISCOVERY_TIME).await;
        let mut streams: Vec<_> = (0..STREAMS).map(|_| nodes.new_stream()).collect();
        read_all(&nodes, &mut streams, 0, 2).await;
        nodes
            .engines
            .borrow_mut()
            .retain(|engine| engine.software == "v1.2");
        nodes.list();
        let (mut gone, mut left): (Vec<_>, Vec<_>) = streams
            .into_iter()
            .partition(|stream| stream.versions.contains("v1"));
        let refused = Attempt::Refused {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: None,
        };
        for attempt in read_all(&nodes, &mut gone, 1, EVENTS).await {
            assert_eq!(attempt, refused);
        }
        read_all(&nodes, &mut left, 1, EVENTS).await;
        check(&left);
        assert!(!gone.is_empty() && !left.is_empty());
    });
}

#[parameterized(
    unknown = { Some("never-used") },
    empty = { Some("") },
    spoiled = { Some("a\u{fffd},b:c") },
    none = { None },
)]
fn stream_with_an_id_that_nobody_knows_goes_on_with_one_version_alone(resumes: Option<&str>) {
    run(async {
        for (versions, expected) in [(&["v1"][..], true), (&["v1", "v1.2"][..], false)] {
            let nodes = VersionedNodes::start(4, versions).await;
            let mut stream = nodes.new_stream();
            stream.last = 2;
            stream.resumes = Some(resumes.map(str::to_owned));
            let attempt = stream.read(&nodes.node(1), EVENTS).await;
            assert_eq!(attempt == Attempt::Whole, expected, "{attempt:?}");
            if !expected {
                assert_eq!(stream.versions.len(), 0);
                let is_told_to_return = matches!(
                    attempt,
                    Attempt::Refused { status: StatusCode::SERVICE_UNAVAILABLE, retry_after: Some(after) }
                        if after < 1.0
                );
                assert!(is_told_to_return, "{attempt:?}");
            }
        }
    });
}

/// The id of another tenant's stream tells nothing, not even that it exists.
#[test]
fn stream_of_another_tenant_is_like_one_that_nobody_knows() {
    run(async {
        let nodes = VersionedNodes::start_with_tenants(4, &["v1", "v1.2"]).await;
        for _ in 0..STREAMS {
            let mut stream = nodes.new_stream();
            stream.key = Some("key-1");
            stream.read(&nodes.node(0), 2).await;
            stream.key = Some("key-2");
            let attempt = stream.read(&nodes.node(1), EVENTS).await;
            assert!(matches!(attempt, Attempt::Refused { .. }), "{attempt:?}");
            assert_eq!(stream.last, 2);
            stream.key = Some("key-1");
            let attempt = stream.read(&nodes.node(1), EVENTS).await;
            assert_eq!(attempt, Attempt::Whole);
            assert!(!stream.is_mixed());
        }
    });
}

/// Two streams begun under the same id by different versions can't be told apart.
#[test]
fn id_of_two_streams_of_different_versions_is_refused() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1", "v1.2"]).await;
        let mut first = nodes.new_stream();
        first.read(&nodes.node(0), 2).await;
        for engine in nodes.engines.borrow().iter() {
            let is_first = first.versions.contains(&engine.software);
            engine.behaviour().is_full.set(is_first);
        }
        let mut second = first.begun_again();
        second.read(&nodes.node(1), 2).await;
        assert_ne!(first.versions, second.versions);
        for engine in nodes.engines.borrow().iter() {
            engine.behaviour().is_full.set(false);
        }
        for mut stream in [first, second] {
            let attempt = stream.read(&nodes.node(2), EVENTS).await;
            assert!(matches!(attempt, Attempt::Refused { .. }), "{attempt:?}");
        }
    });
}

/// A node whose list is behind knows only one of the versions.
#[parameterized(
    that_hears_others = { true, Duration::ZERO },
    that_was_cut_off = { false, SETTLING_TIME },
    that_was_cut_off_for_so_long_that_it_knows_no_other_node = { false, Duration::from_secs(6) },
)]
fn node_with_an_old_list_mixes_no_streams(hears_others: bool, cut_for: Duration) {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1", "v1.2"]).await;
        let mut old = nodes.entries();
        old.retain(|entry| entry.software == "v1");
        let late = match hears_others {
            true => {
                nodes.restart(&[3]).await;
                nodes.node(3)
            }
            false => nodes.start_alone(3).await,
        };
        nodes.list_at(&late, old);
        late.stop_listing();
        sleep(cut_for).await;
        let mut streams: Vec<_> = (0..STREAMS).map(|_| nodes.new_stream()).collect();
        read_all(&nodes, &mut streams, 0, 2).await;
        let reads = streams.iter_mut().map(|stream| stream.read(&late, EVENTS));
        join_all(reads).await;
        let mixed = streams.iter().filter(|stream| stream.is_mixed()).count();
        assert_eq!(mixed, 0, "mixed streams of {STREAMS}");
        // Callers that were refused there go on elsewhere.
        read_all(&nodes, &mut streams, 1, EVENTS).await;
        check(&streams);
    });
}

/// Nodes tell each other of streams only while several versions serve, and then of each to few.
#[parameterized(
    one_version = { &["v1"], 0 },
    two_versions = { &["v1", "v1.2"], HOLDERS },
)]
fn nodes_tell_each_other_of_streams_only_with_several_versions(versions: &[&str], most: usize) {
    run(async {
        let nodes = VersionedNodes::start(6, versions).await;
        // The nodes have begun to talk to each other.
        sleep(Duration::from_millis(20)).await;
        let told = Rc::new(Cell::new(0));
        let count = Rc::clone(&told);
        let node = nodes.node(0);
        node.bench
            .gateway
            .attach_peer_link(Box::new(move |_, datagram, receivers| {
                if matches!(datagram, Datagram::StreamRecords(_)) {
                    count.set(count.get() + receivers.len());
                }
            }));
        let mut streams: Vec<_> = (0..STREAMS).map(|_| nodes.new_stream()).collect();
        read_all(&nodes, &mut streams, 0, EVENTS).await;
        assert!(told.get() <= STREAMS * most, "{} records", told.get());
        assert_eq!(told.get() == 0, most == 0);
    });
}

/// The nodes of a zone that is cut off agree on the only version that they know.
#[test]
fn zone_that_was_cut_off_joins_streams_of_a_later_version() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1"]).await;
        sleep(DISCOVERY_TIME).await;
        // These two share a zone.
        nodes.cut_off(&[0, 3]);
        for _ in 0..2 {
            nodes.start_engine("v1.2").await;
        }
        for index in [1, 2] {
            nodes.list_at(&nodes.node(index), nodes.entries());
        }
        sleep(DISCOVERY_TIME).await;
        let mut streams: Vec<_> = (0..STREAMS).map(|_| nodes.new_stream()).collect();
        read_all(&nodes, &mut streams, 1, 2).await;
        let is_second = |stream: &Stream| stream.versions.contains("v1.2");
        assert!(streams.iter().any(is_second));
        read_all(&nodes, &mut streams, 0, EVENTS).await;
        let mixed = streams.iter().filter(|stream| stream.is_mixed()).count();
        assert_eq!(mixed, 0, "mixed streams of {STREAMS}");
    });
}

/// While the store is away for all nodes, each hears the others, and none can have heard of another version.
#[test]
fn streams_of_the_only_version_are_refused_while_the_store_is_away() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1"]).await;
        sleep(DISCOVERY_TIME).await;
        let mut streams: Vec<_> = (0..STREAMS).map(|_| nodes.new_stream()).collect();
        for node in nodes.nodes.borrow().iter() {
            node.stop_listing();
        }
        nodes.store.is_away.set(true);
        sleep(DISCOVERY_TIME).await;
        read_all(&nodes, &mut streams, 1, 2).await;
        read_all(&nodes, &mut streams, 0, EVENTS).await;
        check(&streams);
    });
}

/// A node that has asked all who may know a stream does not wait for more answers.
#[test]
fn lookup_of_an_unknown_stream_runs_to_its_limit() {
    run(async {
        let nodes = VersionedNodes::start(12, &["v1", "v1.2"]).await;
        sleep(DISCOVERY_TIME).await;
        let mut streams: Vec<_> = (0..STREAMS).map(|_| nodes.new_stream()).collect();
        for (index, stream) in streams.iter_mut().enumerate() {
            stream.last = 2;
            stream.resumes = Some(Some(format!("never-used-{index}")));
        }
        read_all(&nodes, &mut streams, 0, EVENTS).await;
        let lines = nodes.lines.of("stream_taken_up");
        let waits = lines.iter().filter_map(|line| value(line, "waited_ms"));
        let waits: Vec<u64> = waits.filter_map(|wait| wait.parse().ok()).collect();
        assert!(!waits.is_empty());
        let short = waits.iter().filter(|wait| **wait < LOOKUP_LIMIT_MS / 2);
        assert!(short.count() * 2 > waits.len(), "waited for {waits:?} ms");
    });
}
