//! Streams whose events come from engines of two software versions, which do not fit together.

mod support;

use futures_util::future::join_all;
use support::gateway_bench::run;
use support::versioned_engines::EVENTS;
use support::versioned_nodes::{Attempt, Stream, VersionedNodes};
use yare::parameterized;

/// Streams of each case; with a blind choice between two versions almost none of these runs stays unmixed.
const STREAMS: usize = 24;
/// Share of streams that go on, of those whose callers take them up again.
const MIN_CONTINUED: f64 = 0.95;

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
