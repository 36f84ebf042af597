//! Streams of versions that the store never held, taken up after all nodes were killed at once.

mod support;

use std::time::Duration;

use futures_util::future::join_all;
use ryerouter_core::identity::{Incarnation, PoolName};
use ryerouter_gateway::engines::EngineEntry;
use support::gateway_bench::run;
use support::records::POOL;
use support::versioned_engines::EVENTS;
use support::versioned_nodes::{Attempt, Stream, VersionedNodes};
use tokio::time::sleep;
use yare::parameterized;

/// Streams of each case.
const STREAMS: usize = 48;
/// Nodes that have run so long have recorded the versions.
const SETTLED: Duration = Duration::from_millis(2_500);
/// So long after that, nodes don't compare the versions with the recorded ones for 0.3 s.
const BETWEEN_COMPARISONS: Duration = Duration::from_millis(100);
/// A caller that is refused comes back so many times.
const ATTEMPTS: u32 = 4;
/// Share of streams that go on, of those whose version still serves.
const MIN_CONTINUED: f64 = 0.95;

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

fn take_away(nodes: &VersionedNodes, software: &str) {
    let mut engines = nodes.engines.borrow_mut();
    engines.retain(|engine| engine.software != software);
}

/// Whether the engines of the newer version are listed when the nodes are back.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Newer {
    Gone,
    Stays,
}

/// The newer version takes the place of the recorded one, whose new engines are listed when all nodes were killed.
#[parameterized(
    newer_gone = { 4, true, Newer::Gone, Duration::ZERO },
    newer_stays = { 4, true, Newer::Stays, Duration::ZERO },
    newer_gone_many_nodes = { 12, true, Newer::Gone, Duration::ZERO },
    newer_gone_one_node_alone = { 1, true, Newer::Gone, Duration::ZERO },
    newer_stays_taken_up_later = { 4, true, Newer::Stays, SETTLED },
    newer_gone_taken_up_later = { 4, true, Newer::Gone, SETTLED },
    newer_gone_before_it_was_written = { 4, false, Newer::Gone, Duration::ZERO },
    newer_stays_before_it_was_written = { 4, false, Newer::Stays, Duration::ZERO },
)]
fn streams_of_a_version_that_was_never_recorded_are_joined(
    count: usize,
    store_takes_no_writes: bool,
    newer: Newer,
    taken_up_after: Duration,
) {
    run(async {
        let nodes = VersionedNodes::start(count, &["v1"]).await;
        sleep(SETTLED + BETWEEN_COMPARISONS).await;
        nodes.store.takes_no_writes.set(store_takes_no_writes);
        for _ in 0..2 {
            nodes.start_engine("v1.2").await;
        }
        take_away(&nodes, "v1");
        nodes.list();
        let mut streams = begin(&nodes).await;
        let begun = streams.iter().filter(|stream| stream.last > 0).count();
        assert_eq!(begun, STREAMS, "streams that began");
        if newer == Newer::Gone {
            take_away(&nodes, "v1.2");
        }
        for _ in 0..2 {
            nodes.start_engine("v1").await;
        }
        kill_all(&nodes).await;
        nodes.store.takes_no_writes.set(false);
        sleep(taken_up_after).await;
        take_up(&nodes, &mut streams).await;
        let mixed = streams.iter().filter(|stream| stream.is_mixed()).count();
        assert_eq!(mixed, 0, "mixed streams of {STREAMS}");
    });
}

/// What has shown once that a record is no proof still holds for nodes that start later.
#[test]
fn streams_of_a_version_that_was_never_recorded_are_joined_after_a_second_kill() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1"]).await;
        sleep(SETTLED).await;
        nodes.store.takes_no_writes.set(true);
        nodes.start_engine("v1.2").await;
        take_away(&nodes, "v1");
        nodes.list();
        let mut streams = begin(&nodes).await;
        take_away(&nodes, "v1.2");
        nodes.start_engine("v1").await;
        nodes.store.takes_no_writes.set(false);
        kill_all(&nodes).await;
        sleep(SETTLED).await;
        kill_all(&nodes).await;
        take_up(&nodes, &mut streams).await;
        let mixed = streams.iter().filter(|stream| stream.is_mixed()).count();
        assert_eq!(mixed, 0, "mixed streams of {STREAMS}");
    });
}

/// The engines of the only version are replaced one after the other by others of the same version.
#[parameterized(
    two_engines = { 1 },
    many_engines = { 8 },
)]
fn streams_of_the_only_version_are_refused_after_its_engines_were_replaced(more_pairs: usize) {
    run(async {
        let versions = vec!["v1"; more_pairs];
        let nodes = VersionedNodes::start(4, &versions).await;
        sleep(SETTLED).await;
        for _ in 0..more_pairs * 2 {
            nodes.start_engine("v1").await;
            nodes.engines.borrow_mut().remove(0);
            nodes.list();
            sleep(SETTLED).await;
        }
        let mut streams = begin(&nodes).await;
        kill_all(&nodes).await;
        take_up(&nodes, &mut streams).await;
        let whole = streams.iter().filter(|stream| stream.is_whole()).count();
        let share = whole as f64 / STREAMS as f64;
        assert!(share >= MIN_CONTINUED, "{whole} of {STREAMS} went on");
        let writes = nodes.store.version_writes.get();
        assert!(writes <= 8, "{writes} writes of versions");
    });
}

/// Pairs of engines, of which the record can't name all.
const MANY_PAIRS: usize = 6;
/// A list that comes in parts is complete by then.
const LIST_IN_PARTS: Duration = Duration::from_millis(400);

fn count_whole(streams: &[Stream]) -> usize {
    streams.iter().filter(|stream| stream.is_whole()).count()
}

/// Most engines that the record names leave while all nodes are down.
#[test]
fn streams_of_the_only_version_are_refused_where_many_engines_crashed() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1"; MANY_PAIRS]).await;
        sleep(SETTLED).await;
        let mut streams = begin(&nodes).await;
        let mut witnesses = nodes.store.witnesses_of(&PoolName::new(POOL));
        assert_eq!(witnesses.len(), 8);
        witnesses.pop_last();
        let mut engines = nodes.engines.take();
        engines.retain(|engine| !witnesses.contains(&engine.name));
        assert_eq!(engines.len(), MANY_PAIRS * 2 - 7);
        nodes.engines.replace(engines);
        kill_all(&nodes).await;
        take_up(&nodes, &mut streams).await;
        assert_eq!(count_whole(&streams), STREAMS);
    });
}

/// Nodes that have just started get the list of engines in parts, the named ones last.
#[test]
fn streams_of_the_only_version_are_refused_where_the_list_comes_in_parts() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1"; MANY_PAIRS]).await;
        sleep(SETTLED).await;
        let mut streams = begin(&nodes).await;
        let witnesses = nodes.store.witnesses_of(&PoolName::new(POOL));
        kill_all(&nodes).await;
        let mut first = nodes.entries();
        first.retain(|entry| !witnesses.contains(entry.name.as_str()));
        assert_eq!(first.len(), MANY_PAIRS * 2 - 8);
        for index in 0..4 {
            nodes.list_at(&nodes.node(index), first.clone());
        }
        sleep(LIST_IN_PARTS).await;
        nodes.list();
        take_up(&nodes, &mut streams).await;
        assert_eq!(count_whole(&streams), STREAMS);
    });
}

/// A record of a former build names no engines. A node that is started beside others knows the past from them.
#[test]
fn streams_of_the_only_version_are_refused_after_an_upgrade_of_one_node_after_the_other() {
    run(async {
        let nodes = VersionedNodes::start(3, &["v1"]).await;
        sleep(SETTLED).await;
        nodes.store.forget_witnesses();
        let mut streams = begin(&nodes).await;
        for index in 0..3 {
            nodes.restart(&[index]).await;
            sleep(SETTLED * 2).await;
        }
        assert!(!nodes.store.witnesses_of(&PoolName::new(POOL)).is_empty());
        take_up(&nodes, &mut streams).await;
        assert_eq!(count_whole(&streams), STREAMS);
    });
}

/// An engine that begins again under its name doesn't stand for its former life.
#[test]
fn streams_are_joined_where_an_engine_began_again_under_its_name() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1"]).await;
        let incarnations = |number: u64| {
            let mut entries = nodes.entries();
            for entry in &mut entries {
                entry.incarnation = Some(Incarnation(number));
            }
            entries
        };
        let list = |entries: Vec<EngineEntry>| {
            for index in 0..4 {
                nodes.list_at(&nodes.node(index), entries.clone());
            }
        };
        list(incarnations(1));
        sleep(SETTLED * 2).await;
        nodes.store.takes_no_writes.set(true);
        let former = incarnations(2);
        nodes.start_engine("v1.2").await;
        take_away(&nodes, "v1");
        nodes.list();
        let mut streams = begin(&nodes).await;
        kill_all(&nodes).await;
        list(former);
        nodes.store.takes_no_writes.set(false);
        take_up(&nodes, &mut streams).await;
        let mixed = streams.iter().filter(|stream| stream.is_mixed()).count();
        assert_eq!(mixed, 0, "mixed streams of {STREAMS}");
    });
}

/// The first list that nodes read after their start may be some seconds old, and then shows engines that have left.
#[parameterized(
    newer_gone = { Newer::Gone },
    newer_stays = { Newer::Stays },
)]
fn streams_are_joined_where_the_first_list_after_the_start_is_old(newer: Newer) {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1"]).await;
        sleep(SETTLED + BETWEEN_COMPARISONS).await;
        nodes.store.takes_no_writes.set(true);
        let old_list = nodes.entries();
        nodes.start_engine("v1.2").await;
        take_away(&nodes, "v1");
        nodes.list();
        let mut streams = begin(&nodes).await;
        if newer == Newer::Gone {
            take_away(&nodes, "v1.2");
        }
        nodes.start_engine("v1").await;
        nodes.old_list.replace(Some(old_list));
        kill_all(&nodes).await;
        sleep(LIST_IN_PARTS).await;
        take_up(&nodes, &mut streams).await;
        let mixed = streams.iter().filter(|stream| stream.is_mixed()).count();
        assert_eq!(mixed, 0, "mixed streams of {STREAMS}");
    });
}

/// All engines of the older version leave at once, just before all nodes are killed.
#[test]
fn record_of_two_versions_is_not_believed_after_the_older_one_has_left() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1"; MANY_PAIRS]).await;
        sleep(SETTLED).await;
        for _ in 0..2 {
            nodes.start_engine("v1.2").await;
        }
        nodes.list();
        sleep(SETTLED * 2).await;
        take_away(&nodes, "v1");
        kill_all(&nodes).await;
        sleep(SETTLED).await;
        let proven = nodes.lines.of("version_record_proven").len();
        let unproven = nodes.lines.of("version_record_unproven").len();
        assert_eq!((proven, unproven), (4, 0));
    });
}

/// Callers come back in vain where no engine of their stream's version will serve.
#[test]
fn streams_whose_version_has_left_are_told_to_come_back_where_the_past_is_not_known() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1", "v1.2"]).await;
        sleep(SETTLED + BETWEEN_COMPARISONS).await;
        let mut streams = begin(&nodes).await;
        streams.retain(|stream| stream.versions.contains("v1"));
        assert!(!streams.is_empty());
        sleep(SETTLED).await;
        take_away(&nodes, "v1");
        take_away(&nodes, "v1.2");
        nodes.start_engine("v1.2").await;
        kill_all(&nodes).await;
        sleep(SETTLED * 2).await;
        assert!(!nodes.lines.of("version_record_unproven").is_empty());
        for (index, stream) in streams.iter_mut().enumerate() {
            let attempt = stream.read(&nodes.node(index), EVENTS).await;
            let is_final = matches!(
                attempt,
                Attempt::Refused {
                    retry_after: None,
                    ..
                }
            );
            assert!(is_final, "{attempt:?}");
        }
    });
}
