//! Streams that are taken up again after all nodes were killed at once, so that no node remembers anything.

mod support;

use std::time::Duration;

use futures_util::future::join_all;
use support::gateway_bench::run;
use support::versioned_engines::EVENTS;
use support::versioned_nodes::{Attempt, Stream, VersionedNodes};
use tokio::time::sleep;
use yare::parameterized;

/// Streams of each case.
const STREAMS: usize = 48;
/// Share of streams that go on, of those whose version still serves.
const MIN_CONTINUED: f64 = 0.95;
/// Nodes that have run so long take both versions for settled, and have told each other of them.
const SETTLED: Duration = Duration::from_millis(2_500);
/// A caller that is refused comes back so many times.
const ATTEMPTS: u32 = 4;

/// When the engines of the older version leave the list.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Left {
    Never,
    /// So long before all nodes are killed.
    Before(Duration),
    /// Before the nodes are back.
    WhileDown,
    /// So long after the nodes are back.
    After(Duration),
}

fn take_away_v1(nodes: &VersionedNodes) {
    let mut engines = nodes.engines.borrow_mut();
    engines.retain(|engine| engine.software == "v1.2");
}

async fn begin(nodes: &VersionedNodes) -> Vec<Stream> {
    let mut streams: Vec<_> = (0..STREAMS).map(|_| nodes.new_stream()).collect();
    let reads = streams.iter_mut().enumerate().map(|(index, stream)| {
        let node = nodes.node(index);
        async move { stream.read(&node, 2).await }
    });
    join_all(reads).await;
    streams
}

/// Each caller comes back until its stream goes on or it has been refused too often.
async fn take_up(nodes: &VersionedNodes, streams: &mut [Stream]) {
    let reads = streams
        .iter_mut()
        .enumerate()
        .map(|(index, stream)| async move {
            for attempt in 0..ATTEMPTS {
                let node = nodes.node(index + attempt as usize);
                match stream.read(&node, EVENTS).await {
                    Attempt::Refused {
                        retry_after: Some(after),
                        ..
                    } => sleep(Duration::from_secs_f64(after)).await,
                    _ => return,
                }
            }
        });
    join_all(reads).await;
}

async fn kill_all(nodes: &VersionedNodes) {
    let all: Vec<_> = (0..nodes.gateways().len()).collect();
    nodes.restart(&all).await;
}

async fn play(count: usize, left: Left, kills: usize) -> Vec<Stream> {
    let nodes = VersionedNodes::start(count, &["v1", "v1.2"]).await;
    sleep(SETTLED).await;
    let mut streams = begin(&nodes).await;
    if let Left::Before(time) = left {
        take_away_v1(&nodes);
        nodes.list();
        sleep(time).await;
    }
    sleep(Duration::from_millis(400)).await;
    if left == Left::WhileDown {
        take_away_v1(&nodes);
    }
    for _ in 0..kills {
        kill_all(&nodes).await;
    }
    if let Left::After(time) = left {
        sleep(time).await;
        take_away_v1(&nodes);
        nodes.list();
    }
    take_up(&nodes, &mut streams).await;
    streams
}

#[parameterized(
    older_version_left_before = { 4, Left::Before(Duration::from_millis(400)), 1 },
    older_version_left_before_at_one_node_alone = { 1, Left::Before(Duration::from_millis(400)), 1 },
    older_version_left_before_at_many_nodes = { 12, Left::Before(Duration::from_millis(400)), 1 },
    older_version_left_while_they_were_down = { 4, Left::WhileDown, 1 },
    older_version_left_after = { 4, Left::After(Duration::from_millis(300)), 1 },
    older_version_left_and_killed_twice = { 4, Left::Before(Duration::from_millis(400)), 2 },
    both_versions_stay = { 4, Left::Never, 1 },
)]
fn streams_are_joined_from_two_versions(nodes: usize, left: Left, kills: usize) {
    run(async {
        let streams = play(nodes, left, kills).await;
        let mixed = streams.iter().filter(|stream| stream.is_mixed()).count();
        assert_eq!(mixed, 0, "mixed streams of {STREAMS}");
    });
}

#[parameterized(
    both_versions_stay = { 4, Left::Never, 1 },
    both_versions_stay_at_one_node_alone = { 1, Left::Never, 1 },
    both_versions_stay_at_many_nodes = { 12, Left::Never, 1 },
    both_versions_stay_and_killed_twice = { 4, Left::Never, 2 },
    older_version_left_before = { 4, Left::Before(Duration::from_millis(400)), 1 },
    older_version_left_while_they_were_down = { 4, Left::WhileDown, 1 },
)]
fn streams_whose_version_serves_are_refused(nodes: usize, left: Left, kills: usize) {
    run(async {
        let streams = play(nodes, left, kills).await;
        let serves = |stream: &&Stream| left == Left::Never || stream.versions.contains("v1.2");
        let serving: Vec<_> = streams.iter().filter(serves).collect();
        let whole = serving.iter().filter(|stream| stream.is_whole()).count();
        let share = whole as f64 / serving.len() as f64;
        assert!(
            share >= MIN_CONTINUED,
            "{whole} of {} went on",
            serving.len()
        );
    });
}
