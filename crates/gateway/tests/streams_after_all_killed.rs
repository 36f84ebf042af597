//! Streams that are taken up again after all nodes were killed at once, so that no node remembers anything.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::future::join_all;
use ryerouter_core::identity::PoolName;
use support::gateway_bench::run;
use support::log_lines::value;
use support::records::POOL;
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
/// A node that starts so long after the others takes them for older.
const LATE: Duration = Duration::from_millis(4_000);
/// Nodes that are back have read the records of versions by then.
const RECORDS_READ: Duration = Duration::from_millis(300);
/// How long a slow store takes for a call.
const SLOW_STORE: Duration = Duration::from_millis(600);
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

fn count_mixed(streams: &[Stream]) -> usize {
    streams.iter().filter(|stream| stream.is_mixed()).count()
}

/// One version serves, and another one has taken its place when the nodes are back.
#[test]
fn streams_go_on_at_a_version_that_replaced_theirs_meanwhile() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1"]).await;
        sleep(SETTLED).await;
        let mut streams = begin(&nodes).await;
        nodes.start_engine("v1.2").await;
        take_away_v1(&nodes);
        kill_all(&nodes).await;
        take_up(&nodes, &mut streams).await;
        assert_eq!(count_mixed(&streams), 0, "mixed streams of {STREAMS}");
    });
}

/// What befalls the store while the nodes are killed.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    /// The store answers nobody from before the nodes are killed.
    Away,
    /// It has come back from a copy that knows the older version alone, and lists it alone.
    OlderCopy,
    /// It takes long for each call.
    Slow,
}

#[parameterized(
    away = { Trouble::Away },
    back_from_a_copy = { Trouble::OlderCopy },
    slow = { Trouble::Slow },
)]
fn streams_are_joined_from_two_versions_after_an_outage(trouble: Trouble) {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1"]).await;
        sleep(SETTLED).await;
        nodes.store.make_copy();
        nodes.start_engine("v1.2").await;
        nodes.start_engine("v1.2").await;
        nodes.list();
        sleep(SETTLED).await;
        let mut streams = begin(&nodes).await;
        sleep(Duration::from_millis(400)).await;
        match trouble {
            Trouble::Away => {
                nodes.store.is_away.set(true);
                take_away_v1(&nodes);
            }
            Trouble::OlderCopy => {
                nodes.store.restore_copy();
                let mut engines = nodes.engines.borrow_mut();
                engines.retain(|engine| engine.software == "v1");
            }
            Trouble::Slow => {
                nodes.store.delay.set(Duration::from_millis(400));
                take_away_v1(&nodes);
            }
        }
        kill_all(&nodes).await;
        take_up(&nodes, &mut streams).await;
        assert_eq!(count_mixed(&streams), 0, "mixed streams of {STREAMS}");
        let whole = streams.iter().filter(|stream| stream.is_whole()).count();
        if trouble == Trouble::Slow {
            let serving = streams
                .iter()
                .filter(|stream| stream.versions.contains("v1.2"));
            let serving = serving.count();
            assert!(
                whole as f64 >= MIN_CONTINUED * serving as f64,
                "{whole} of {serving}"
            );
        }
    });
}

/// What a store holds that has come back from a copy, or holds what nobody can read.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Lost {
    /// The record of the second version.
    SecondVersion,
    /// The record of the pool.
    Pool,
    /// Nobody can read the record.
    Unreadable,
}

/// What the store has lost stays unknown, also for nodes that start later.
#[parameterized(
    second_version = { Lost::SecondVersion, Duration::ZERO },
    second_version_and_killed_again = { Lost::SecondVersion, Duration::from_millis(3_500) },
    pool = { Lost::Pool, Duration::ZERO },
    pool_and_killed_again = { Lost::Pool, Duration::from_millis(3_500) },
    unreadable = { Lost::Unreadable, Duration::ZERO },
)]
fn streams_are_joined_where_the_store_lost_a_record(lost: Lost, killed_again_after: Duration) {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1"]).await;
        sleep(SETTLED).await;
        if lost == Lost::SecondVersion {
            nodes.store.make_copy();
        }
        nodes.start_engine("v1.2").await;
        nodes.start_engine("v1.2").await;
        nodes.list();
        sleep(SETTLED).await;
        let mut streams = begin(&nodes).await;
        assert!(
            streams
                .iter()
                .any(|stream| stream.versions.contains("v1.2"))
        );
        match lost {
            Lost::Unreadable => nodes.store.is_unreadable.set(true),
            Lost::SecondVersion | Lost::Pool => nodes.store.restore_copy(),
        }
        let keep_first = |nodes: &VersionedNodes| {
            let mut engines = nodes.engines.borrow_mut();
            engines.retain(|engine| engine.software == "v1");
        };
        keep_first(&nodes);
        kill_all(&nodes).await;
        if !killed_again_after.is_zero() {
            sleep(killed_again_after).await;
            kill_all(&nodes).await;
        }
        take_up(&nodes, &mut streams).await;
        assert_eq!(count_mixed(&streams), 0, "mixed streams of {STREAMS}");
    });
}

/// That a store which holds what nobody can read is taken for a new one, joins streams.
#[test]
fn streams_are_joined_where_an_unreadable_record_counts_as_none() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1", "v1.2"]).await;
        sleep(SETTLED).await;
        let mut streams = begin(&nodes).await;
        {
            let mut engines = nodes.engines.borrow_mut();
            engines.retain(|engine| engine.software == "v1");
        }
        nodes.store.is_unreadable.set(true);
        nodes.is_first_start.set(true);
        kill_all(&nodes).await;
        take_up(&nodes, &mut streams).await;
        assert_eq!(count_mixed(&streams), 0, "mixed streams of {STREAMS}");
    });
}

/// A single version needs no record of a stream, only one of the version.
#[test]
fn streams_of_the_only_version_are_refused() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1"]).await;
        sleep(SETTLED).await;
        let mut streams = begin(&nodes).await;
        kill_all(&nodes).await;
        take_up(&nodes, &mut streams).await;
        let whole = streams.iter().filter(|stream| stream.is_whole()).count();
        assert_eq!(whole, STREAMS);
        assert_eq!(nodes.store.streams(), 0, "streams in the store");
    });
}

/// A version that has left is taken off its record once its streams can't be under way, and no earlier.
#[test]
fn versions_are_recorded_while_their_streams_may_be_under_way() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1", "v1.2"]).await;
        sleep(SETTLED).await;
        let pool = PoolName::new(POOL);
        assert_eq!(nodes.store.versions_of(&pool), ["v1", "v1.2"]);
        take_away_v1(&nodes);
        nodes.list();
        kill_all(&nodes).await;
        sleep(SETTLED).await;
        assert_eq!(nodes.store.versions_of(&pool), ["v1", "v1.2"]);
    });
}

fn values(nodes: &VersionedNodes, event: &str, key: &str) -> BTreeSet<String> {
    let lines = nodes.lines.of(event);
    let known = lines.iter().filter_map(|line| value(line, key));
    known.map(str::to_owned).collect()
}

#[test]
fn stream_that_the_store_knows_is_logged_as_known_by_a_peer() {
    run(async {
        let nodes = VersionedNodes::start(1, &["v1", "v1.2"]).await;
        sleep(SETTLED).await;
        let mut streams = begin(&nodes).await;
        sleep(Duration::from_millis(400)).await;
        kill_all(&nodes).await;
        take_up(&nodes, &mut streams).await;
        let known_by = values(&nodes, "stream_taken_up", "known_by");
        assert!(known_by.contains("store"), "{known_by:?}");
        assert!(!known_by.contains("peer"), "{known_by:?}");
    });
}

#[test]
fn age_of_the_list_by_which_a_stream_is_taken_up_is_not_logged() {
    run(async {
        let nodes = VersionedNodes::start(1, &["v1"]).await;
        sleep(SETTLED).await;
        let mut streams = begin(&nodes).await;
        take_up(&nodes, &mut streams).await;
        let ages = values(&nodes, "stream_taken_up", "list_age_ms");
        let ages: Vec<u64> = ages.iter().filter_map(|age| age.parse().ok()).collect();
        assert!(!ages.is_empty());
        assert!(ages.iter().all(|age| *age < 10_000), "{ages:?}");
    });
}

#[parameterized(
    first_start = { false, "first_start" },
    older_node = { true, "older_node" },
)]
fn pool_without_a_record_is_taken_for_whole_without_a_word(is_late: bool, why: &str) {
    run(async {
        let nodes = VersionedNodes::start(2, &["v1"]).await;
        if is_late {
            sleep(LATE).await;
            nodes.store.lose_versions();
            nodes.restart(&[1]).await;
        }
        sleep(SETTLED).await;
        let known = values(&nodes, "unrecorded_pool_complete", "why");
        assert!(known.contains(why), "{known:?}");
    });
}

fn set_full(nodes: &VersionedNodes, software: &str, is_full: bool) {
    let engines = nodes.engines.borrow();
    for engine in engines.iter().filter(|engine| engine.software == software) {
        engine.behaviour().is_full.set(is_full);
    }
}

async fn add_v1_2(nodes: &VersionedNodes) {
    nodes.start_engine("v1.2").await;
    nodes.start_engine("v1.2").await;
    nodes.list();
}

/// Nodes that don't write the versions of a pool themselves have to learn that others have.
#[test]
fn version_that_appears_later_gets_no_streams_at_nodes_that_do_not_record_it() {
    run(async {
        let nodes = VersionedNodes::start(12, &["v1"]).await;
        sleep(SETTLED).await;
        kill_all(&nodes).await;
        sleep(SETTLED).await;
        add_v1_2(&nodes).await;
        sleep(LATE).await;
        let mut unused = Vec::new();
        for index in 0..nodes.gateways().len() {
            let node = nodes.node(index);
            let mut streams: Vec<_> = (0..STREAMS / 2).map(|_| nodes.new_stream()).collect();
            join_all(streams.iter_mut().map(|stream| stream.read(&node, 2))).await;
            if !streams
                .iter()
                .any(|stream| stream.versions.contains("v1.2"))
            {
                unused.push(index);
            }
        }
        assert!(unused.is_empty(), "nodes {unused:?} avoid v1.2");
    });
}

/// The store takes no writes. Streams of a version that it does not hold would be taken for streams of the one that it
/// does, once all nodes were killed and the new version has left.
#[test]
fn streams_are_joined_from_a_version_that_nobody_could_record() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1"]).await;
        sleep(SETTLED).await;
        nodes.store.takes_no_writes.set(true);
        add_v1_2(&nodes).await;
        sleep(SETTLED).await;
        set_full(&nodes, "v1", true);
        let mut streams = begin(&nodes).await;
        set_full(&nodes, "v1", false);
        {
            let mut engines = nodes.engines.borrow_mut();
            engines.retain(|engine| engine.software == "v1");
        }
        kill_all(&nodes).await;
        take_up(&nodes, &mut streams).await;
        assert_eq!(count_mixed(&streams), 0, "mixed streams of {STREAMS}");
    });
}

/// Where no recorded version serves any more, another one takes its streams at once.
#[test]
fn streams_are_refused_where_only_a_version_serves_that_nobody_could_record() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1"]).await;
        sleep(SETTLED).await;
        nodes.store.takes_no_writes.set(true);
        nodes.start_engine("v1.2").await;
        take_away_v1(&nodes);
        nodes.list();
        let streams = begin(&nodes).await;
        let begun = streams.iter().filter(|stream| stream.last > 0).count();
        assert_eq!(begun, STREAMS);
    });
}

/// Two streams begun under the same id by different versions can't be told apart by what is stored either.
#[test]
fn streams_of_an_id_that_was_used_for_two_versions_are_joined() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1", "v1.2"]).await;
        sleep(SETTLED).await;
        let mut streams = begin(&nodes).await;
        streams.retain(|stream| stream.versions.contains("v1"));
        set_full(&nodes, "v1", true);
        for stream in &streams {
            let mut second = stream.begun_again();
            second.read(&nodes.node(0), 2).await;
            assert!(second.versions.contains("v1.2"));
        }
        set_full(&nodes, "v1", false);
        sleep(Duration::from_millis(400)).await;
        kill_all(&nodes).await;
        take_up(&nodes, &mut streams).await;
        let went_on = streams.iter().filter(|stream| stream.last > 2).count();
        assert_eq!(went_on, 0, "of {} whose ids were used twice", streams.len());
    });
}

/// A newer version appears beside one that stays, while all nodes are down. Nothing but the older one can have served
/// before, as the store knows.
#[parameterized(
    four_nodes = { 4 },
    many_nodes = { 12 },
    one_node_alone = { 1 },
)]
fn streams_are_refused_where_a_newer_version_appears_meanwhile(count: usize) {
    run(async {
        let nodes = VersionedNodes::start(count, &["v1"]).await;
        sleep(SETTLED).await;
        let mut streams = begin(&nodes).await;
        for _ in 0..2 {
            nodes.start_engine("v1.2").await;
        }
        kill_all(&nodes).await;
        take_up(&nodes, &mut streams).await;
        assert_eq!(count_mixed(&streams), 0, "mixed streams of {STREAMS}");
        let whole = streams.iter().filter(|stream| stream.is_whole()).count();
        let share = whole as f64 / STREAMS as f64;
        assert!(share >= MIN_CONTINUED, "{whole} of {STREAMS} went on");
    });
}

/// The store has lost the record that nodes read at their start. What they read again shows nothing of the pool.
#[test]
fn streams_go_on_by_a_record_that_is_gone() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1"]).await;
        sleep(SETTLED).await;
        let mut streams = begin(&nodes).await;
        for _ in 0..2 {
            nodes.start_engine("v1.2").await;
        }
        kill_all(&nodes).await;
        sleep(RECORDS_READ).await;
        nodes.store.lose_versions();
        take_up(&nodes, &mut streams).await;
        let went_on = streams.iter().filter(|stream| stream.last > 2).count();
        assert_eq!(went_on, 0, "of {STREAMS}");
    });
}

/// A newer version appears while all nodes are down, the store is slow when they are back, and all are killed once more
/// before it holds the newer version.
#[test]
fn streams_that_begin_before_the_records_are_read_are_joined() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1"]).await;
        sleep(SETTLED).await;
        for _ in 0..2 {
            nodes.start_engine("v1.2").await;
        }
        nodes.store.delay.set(SLOW_STORE);
        kill_all(&nodes).await;
        let mut streams = begin(&nodes).await;
        nodes.store.delay.set(Duration::ZERO);
        kill_all(&nodes).await;
        take_up(&nodes, &mut streams).await;
        assert_eq!(count_mixed(&streams), 0, "mixed streams of {STREAMS}");
        let begun = streams.iter().filter(|stream| stream.last > 0).count();
        assert_eq!(begun, STREAMS);
    });
}

/// Nodes of a former build neither write records of versions and streams nor read them. What they answer is no proof.
#[parameterized(
    one_and_the_older_version_left_before = { &[3], Left::Before(Duration::from_millis(400)) },
    two_and_the_older_version_left_before = { &[2, 3], Left::Before(Duration::from_millis(400)) },
    two_and_the_older_version_left_while_they_were_down = { &[2, 3], Left::WhileDown },
    two_and_both_versions_stay = { &[2, 3], Left::Never },
)]
fn streams_are_joined_beside_a_former_build(former: &[usize], left: Left) {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1", "v1.2"]).await;
        nodes.former.borrow_mut().extend(former);
        nodes.restart(former).await;
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
        kill_all(&nodes).await;
        for _ in 0..ATTEMPTS {
            let reads = streams.iter_mut().enumerate().map(|(index, stream)| {
                let node = nodes.node(index % 2);
                async move { stream.read(&node, EVENTS).await }
            });
            join_all(reads).await;
        }
        assert_eq!(count_mixed(&streams), 0, "mixed streams of {STREAMS}");
    });
}
