//! From how far away callers are sent to nodes, and to which of unlike ones.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::SeedableRng;
use rand::rngs::StdRng;
use ryerouter_core::identity::{PoolName, RegionName, ZoneName};
use ryerouter_gateway::gateway::{
    CallerLocation, CallerNode, CallerRing, Gateway, GatewaySettings, draw_addresses,
};
use ryerouter_gateway::peers::Capacity;
use ryerouter_gateway::topology::{Distance, Topology};
use support::fleet::{ZONES, nodes_in_regions, three_regions};
use support::gateway_bench::{configure, gateway_with, list_engines, run_paused, settings};
use support::records::table;
use yare::parameterized;

const MOST: usize = 64;
/// So long what comes is the same before it is looked at.
const SECONDS_OF_LOAD: u32 = 12;
const BIG: Capacity = Capacity(500);
const SMALL: Capacity = Capacity(120);

#[parameterized(
    same = { "a1", "a1", Distance::Near },
    region = { "a1", "a2", Distance::SameRegion },
    other = { "a1", "b1", Distance::Remote },
    unnamed = { "a1", "x", Distance::Remote },
    both_unnamed = { "x", "y", Distance::Remote },
)]
fn distance_follows_the_regions(left: &str, right: &str, expected: Distance) {
    let distance =
        |topology: Topology| topology.distance(&ZoneName::new(left), &ZoneName::new(right));
    assert_eq!(distance(three_regions()), expected);
    // Where no region is known all zones lie in one.
    assert!(distance(Topology::default()) <= Distance::SameRegion);
}

fn address(index: usize) -> SocketAddr {
    let port = 10_000 + index;
    format!("127.0.0.1:{port}").parse().unwrap()
}

/// The ring of a caller, and how many nodes serve in it, with six nodes in each zone of which `lost`
/// of each do not serve.
fn ring_of(zone: &str, region: Option<&str>, lost: [usize; 6]) -> (CallerRing, usize) {
    let zones = ZONES.map(ZoneName::new);
    let nodes: Vec<_> = (0..36)
        .map(|index| CallerNode {
            address: address(index),
            zone: &zones[index / 6],
            capacity: Capacity::default(),
            is_ready: index % 6 >= lost[index / 6],
        })
        .collect();
    let region = region.map(RegionName::new);
    let place = CallerLocation {
        zone: &ZoneName::new(zone),
        region: region.as_ref(),
    };
    let (ring, ready) = CallerRing::of(place, &nodes, &three_regions());
    (ring, ready.len())
}

#[parameterized(
    whole = { "a1", None, [0; 6], CallerRing::Zone, 6 },
    half_left = { "a1", None, [3, 0, 0, 0, 0, 0], CallerRing::Zone, 3 },
    most_of_a_zone_lost = { "a1", None, [4, 0, 0, 0, 0, 0], CallerRing::Region, 8 },
    most_of_a_region_lost = { "a1", None, [5, 2, 0, 0, 0, 0], CallerRing::All, 29 },
    whole_region_lost = { "a1", None, [6, 6, 0, 0, 0, 0], CallerRing::All, 24 },
    other_region_lost = { "a1", None, [0, 0, 6, 6, 0, 0], CallerRing::Zone, 6 },
    unknown_zone = { "x", Some("b"), [0; 6], CallerRing::Region, 12 },
    unknown_place = { "x", Some("y"), [0; 6], CallerRing::All, 36 },
    no_region_told = { "x", None, [0; 6], CallerRing::All, 36 },
)]
fn callers_are_served_from_the_nearest_ring_that_is_strong(
    zone: &str,
    region: Option<&str>,
    lost: [usize; 6],
    expected: CallerRing,
    serving: usize,
) {
    assert_eq!(ring_of(zone, region, lost), (expected, serving));
}

#[test]
fn large_nodes_that_are_left_keep_their_zone_strong() {
    let zone = ZoneName::new("a1");
    let node = |index: usize| CallerNode {
        address: address(index),
        zone: &zone,
        capacity: if index < 2 { BIG } else { SMALL },
        is_ready: index < 2,
    };
    let nodes: Vec<_> = (0..8).map(node).collect();
    let place = CallerLocation {
        zone: &zone,
        region: None,
    };
    let (ring, ready) = CallerRing::of(place, &nodes, &three_regions());
    assert_eq!((ring, ready.len()), (CallerRing::Zone, 2));
}

/// How often callers pick each node, if every answer is used once.
fn picks(nodes: &[CallerNode<'_>], most: usize) -> BTreeMap<SocketAddr, f64> {
    let mut random = StdRng::seed_from_u64(7);
    let mut picks = BTreeMap::new();
    for _ in 0..4_000 {
        let named = draw_addresses(nodes, most, true, &mut random);
        let distinct: BTreeSet<_> = named.iter().collect();
        assert_eq!(distinct.len(), named.len());
        assert!(named.len() >= nodes.len().min(6));
        for address in &named {
            *picks.entry(*address).or_default() += 1.0 / named.len() as f64;
        }
    }
    picks
}

fn nodes_of<'a>(zone: &'a ZoneName, capacities: &[Capacity]) -> Vec<CallerNode<'a>> {
    let nodes = capacities.iter().enumerate();
    nodes
        .map(|(index, capacity)| CallerNode {
            address: address(index),
            zone,
            capacity: *capacity,
            is_ready: true,
        })
        .collect()
}

#[test]
fn callers_come_to_unlike_nodes_by_what_those_bear() {
    let zone = ZoneName::new("a1");
    let capacities: Vec<_> = (0..40)
        .map(|index| if index < 8 { BIG } else { SMALL })
        .collect();
    let nodes = nodes_of(&zone, &capacities);
    let picks = picks(&nodes, MOST);
    assert_eq!(picks.len(), nodes.len());
    let mean = |range: std::ops::Range<usize>| {
        let count = range.len() as f64;
        range.map(|index| picks[&address(index)]).sum::<f64>() / count
    };
    // They bear 4.2 times as much; a draw without putting back falls somewhat short of that.
    let times = mean(0..8) / mean(8..40);
    assert!((2.5..4.5).contains(&times), "{times}");
}

#[test]
fn few_or_like_nodes_are_all_named() {
    let zone = ZoneName::new("a1");
    let mut random = StdRng::seed_from_u64(7);
    let alike = nodes_of(&zone, &[SMALL; 30]);
    assert_eq!(draw_addresses(&alike, MOST, true, &mut random).len(), 30);
    let few = nodes_of(&zone, &[BIG, SMALL, SMALL, SMALL]);
    assert_eq!(draw_addresses(&few, MOST, true, &mut random).len(), 4);
    assert!(draw_addresses(&[], MOST, true, &mut random).is_empty());
}

/// A small node with larger ones beside it: all are named until it gets half of what it bears.
#[parameterized(
    little = { 30, 16 },
    much = { 90, 6 },
)]
fn pressed_node_names_others_by_what_they_bear(per_second: u32, expected: usize) {
    run_paused(async move {
        let mut own = settings("node-00");
        own.identity.capacity = SMALL;
        let gateway = gateway_with(own);
        configure(&gateway, table(1, Vec::new()));
        list_engines(&gateway, Vec::new());
        for _ in 0..per_second * SECONDS_OF_LOAD {
            gateway.count_request(&PoolName::new("pool"));
            tokio::time::sleep(std::time::Duration::from_secs(1) / per_second).await;
        }
        for index in 1..16 {
            let mut other = settings_of(index);
            other.identity.capacity = if index < 3 { BIG } else { SMALL };
            other.identity.caller_address = address(index as usize);
            let other = gateway_with(other);
            configure(&other, table(1, Vec::new()));
            list_engines(&other, Vec::new());
            gateway.receive_peer_message(other.peer_message(true));
        }
        let zone = gateway.settings().identity.zone.clone();
        assert_eq!(gateway.addresses_near(&zone, MOST).len(), expected);
    });
}

#[test]
fn each_of_more_nodes_than_an_answer_holds_is_named_at_times() {
    let zone = ZoneName::new("a1");
    let nodes = nodes_of(&zone, &[SMALL; 100]);
    assert_eq!(picks(&nodes, MOST).len(), 100);
}

/// The node that gives orders counts its own requests for those of all: on a large one, to which
/// callers come more often, they stand for fewer others.
#[parameterized(
    like = { SMALL, 32.0 },
    large = { Capacity(360), 16.0 },
)]
fn requests_of_a_node_stand_for_others_by_what_each_bears(own: Capacity, expected: f64) {
    run_paused(async move {
        let mut settings = settings("node-00");
        settings.identity.capacity = own;
        let gateway = gateway_with(settings);
        for index in 1..4 {
            let mut other = settings_of(index);
            other.identity.capacity = SMALL;
            gateway.receive_peer_message(gateway_with(other).peer_message(true));
        }
        let pool = PoolName::new("pool");
        gateway
            .state_mut()
            .stale_weight_starts
            .insert(pool.clone(), 8);
        let all = gateway.take_stale_weight_starts();
        assert_eq!(all.len(), 1);
        assert!((all[0].1 - expected).abs() < 0.01, "{}", all[0].1);
    });
}

fn settings_of(index: u64) -> GatewaySettings {
    let mut settings = settings(&format!("node-{index:02}"));
    settings.identity.incarnation = index + 10;
    settings
}

fn named(gateway: &Gateway, zone: &str) -> usize {
    gateway.addresses_near(&ZoneName::new(zone), MOST).len()
}

#[test]
fn nodes_that_fall_silent_make_their_zone_and_then_their_region_weak() {
    run_paused(async {
        let nodes = nodes_in_regions(4);
        assert_eq!(named(&nodes[0], "a1"), 4);
        assert_eq!(named(&nodes[0], "c2"), 4);
        let hear_but = |silent: std::ops::Range<usize>| {
            let others = nodes.iter().enumerate().skip(1);
            for (_, node) in others.filter(|(index, _)| !silent.contains(index)) {
                nodes[0].receive_peer_message(node.peer_message(false));
            }
        };
        // The last message of each, so that no echo tells of a later one.
        hear_but(0..0);
        for _ in 0..4 {
            tokio::time::sleep(std::time::Duration::from_millis(1_000)).await;
            hear_but(20..23);
        }
        // Three of the four nodes of `c2` are lost.
        assert_eq!(named(&nodes[0], "c2"), 5);
        assert_eq!(named(&nodes[0], "c1"), 4);
        for _ in 0..4 {
            tokio::time::sleep(std::time::Duration::from_millis(1_000)).await;
            hear_but(17..23);
        }
        // So are three of `c1`.
        assert_eq!(named(&nodes[0], "c2"), 18);
        assert_eq!(named(&nodes[0], "a1"), 4);
    });
}
