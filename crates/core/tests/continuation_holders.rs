//! Which nodes hold the record of a stream.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use ryerouter_core::continuation::{HOLDERS, Node, StreamId, holders_of};
use ryerouter_core::identity::ZoneName;
use ryerouter_core::placement::rendezvous_score;
use yare::parameterized;

/// Size of the largest deployment to design for.
const LARGE_FLEET: usize = 985;

/// The first node of each zone, then the others, as all builds choose them.
fn ranked(id: StreamId, nodes: &[Node<'_, usize>]) -> Vec<usize> {
    let mut nodes = nodes.to_vec();
    nodes.sort_by_key(|node| Reverse(rendezvous_score(id.0, node.name_hash)));
    let mut zones = BTreeSet::new();
    let (firsts, others): (Vec<_>, Vec<_>) =
        nodes.into_iter().partition(|node| zones.insert(node.zone));
    let all = firsts.into_iter().chain(others);
    all.take(HOLDERS).map(|node| node.key).collect()
}

#[parameterized(
    alone = { 1, 1 },
    two = { 2, 2 },
    one_zone = { 30, 1 },
    two_zones = { 30, 2 },
    three_zones = { 30, 3 },
    ten_zones = { 100, 10 },
    large_fleet = { LARGE_FLEET, 3 },
    large_fleet_in_one_zone = { LARGE_FLEET, 1 },
    large_fleet_of_many_zones = { LARGE_FLEET, 40 },
)]
fn holders_are_the_first_nodes_of_zones(count: usize, zones: usize) {
    let zones: Vec<_> = (0..zones)
        .map(|zone| ZoneName::new(format!("zone-{zone}")))
        .collect();
    let nodes: Vec<_> = (0..count)
        .map(|index| Node {
            key: index,
            name_hash: xxhash_rust::xxh3::xxh3_64(format!("node-{index}").as_bytes()),
            // The last zones have few nodes.
            zone: &zones[index * index / count % zones.len()],
        })
        .collect();
    for stream in 0..300 {
        let id = StreamId(rendezvous_score(stream, 1));
        assert_eq!(holders_of(id, nodes.iter().copied()), ranked(id, &nodes));
    }
}
