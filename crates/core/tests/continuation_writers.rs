//! Who writes the records of streams to the store, in deployments whose nodes know different others.

mod writers_world;

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::continuation::Shard;
use writers_world::{Calls, Disagreement, WRITE_INTERVAL, World};
use yare::parameterized;

/// Sizes of deployments to design for.
const SIZES: [usize; 4] = [30, 100, 300, 985];
/// Streams that begin at each node in a second.
const STREAMS_PER_NODE_S: usize = 15;
/// Streams that callers take up at each node in a second after all were killed.
const TAKEN_UP_PER_NODE_S: usize = 5;
/// Calls beyond one writer a shard, as a share: nodes that take each other's place, or can't reach each other.
const SLACK: f64 = 0.25;
/// How much more calls the largest deployment makes than the smallest, as a share.
const MAX_GROWTH: f64 = 0.1;
/// What a writer took so shortly before it was killed may be lost with it.
const IN_FLIGHT: Duration = Duration::from_millis(1_200);
/// How long a second node may write a shard after a start of all nodes.
const STARTING: Duration = Duration::from_millis(1_500);
const END: Timestamp = Timestamp::from_millis(12_000);

/// Some nodes of each view are missing or wrong.
const SMALL: Disagreement = Disagreement {
    missing: 30,
    stuck: 20,
    cut: 10,
    is_far_news_slow: false,
};

/// As in a deployment of zones that has just started: nodes of other zones are heard of for 15 s.
const SLOW_NEWS: Disagreement = Disagreement {
    is_far_news_slow: true,
    ..SMALL
};

/// Many are.
const MANY_MISSING: Disagreement = Disagreement {
    missing: 100,
    ..SMALL
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Three writers are killed and started again, then all nodes.
fn play(nodes: usize, disagreement: Disagreement, seed: u64) -> World {
    let mut world = World::new(nodes, disagreement, seed);
    let writers: Vec<_> = Shard::all()
        .take(3)
        .map(|shard| world.first(shard))
        .collect();
    world.start_at(at(0), world.all());
    world.begin_streams(at(0), END, nodes * STREAMS_PER_NODE_S);
    world.kill_at(at(4_000), writers.clone());
    world.start_at(at(6_000), writers);
    world.kill_at(at(8_500), world.all());
    world.start_at(at(9_000), world.all());
    world.take_up_streams(at(9_000), at(11_500), nodes * TAKEN_UP_PER_NODE_S);
    world.run_until(END.after(Duration::from_secs(2)));
    world
}

/// Writes of one writer a shard that pauses between them, and reads of two readers once a second.
fn bound() -> f64 {
    let shards = f64::from(Shard::COUNT);
    let writes = shards * END.since(at(0)).as_secs_f64() / WRITE_INTERVAL.as_secs_f64();
    let reads = 2.0 * shards * 3.0;
    (writes + reads) * (1.0 + SLACK)
}

/// The calls of each size, none of which may be more than the bound.
fn calls_of_sizes(disagreement: Disagreement, seed: u64, bound: f64) -> Vec<Calls> {
    let calls = SIZES.into_iter().map(|nodes| {
        let world = play(nodes, disagreement, seed);
        println!(
            "{nodes} nodes, {} streams: {:?}, {} records handed over, {} confirmed",
            world.begun(),
            world.calls,
            world.handed_over,
            world.confirmed
        );
        let total = world.calls.total() as f64;
        assert!(
            total <= bound,
            "{nodes} nodes: {total} calls, more than {bound}"
        );
        world.calls
    });
    calls.collect()
}

#[parameterized(
    alike = { Disagreement::default(), 1 },
    different = { SMALL, 1 },
    different_again = { SMALL, 2 },
)]
fn calls_to_the_store_grow_with_nodes_that_know_different_others(
    disagreement: Disagreement,
    seed: u64,
) {
    let calls = calls_of_sizes(disagreement, seed, bound());
    let growth = calls[3].total() as f64 / calls[0].total() as f64 - 1.0;
    assert!(growth <= MAX_GROWTH, "{growth}: {calls:?}");
}

/// A tenth of all nodes is missing in each view, so that a second writer is a tenth as busy as the first.
#[test]
fn shards_have_many_writers_where_views_lack_many_nodes() {
    calls_of_sizes(MANY_MISSING, 3, bound());
}

/// Nodes of other zones are heard of for 15 s after a start, and a second node writes a shard all this time.
#[parameterized(
    once = { 1 },
    again = { 2 },
)]
fn shards_have_a_second_writer_until_all_zones_are_heard(seed: u64) {
    let starts = 2.0;
    let writes = STARTING.div_duration_f64(WRITE_INTERVAL) * f64::from(Shard::COUNT);
    let bound = bound() + starts * writes * (1.0 + SLACK);
    calls_of_sizes(SLOW_NEWS, seed, bound);
}

/// Whatever nodes know of each other, each stream is written by at least one.
#[parameterized(
    alike = { Disagreement::default() },
    different = { SMALL },
    many_missing = { MANY_MISSING },
    many_stuck = { Disagreement { stuck: 200, ..SMALL } },
    many_cut = { Disagreement { cut: 200, ..SMALL } },
    slow_news = { SLOW_NEWS },
)]
fn streams_are_not_written_where_nodes_know_different_others(disagreement: Disagreement) {
    for nodes in [3, 30, 100] {
        let world = play(nodes, disagreement, 1);
        let before = |kill: u64| (at(kill).before(IN_FLIGHT), at(kill));
        let lost = world.lost(&[before(4_000), before(8_500)]);
        assert_eq!(lost, [], "{nodes} nodes, of {} streams", world.begun());
    }
}
