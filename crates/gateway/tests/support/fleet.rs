//! Many gateways that have heard of each other.

use std::net::SocketAddr;
use std::rc::Rc;

use ryerouter_core::identity::{RegionName, ZoneName};
use ryerouter_gateway::gateway::{Envelope, Gateway};
use ryerouter_gateway::source::{Item, ItemKind};
use ryerouter_gateway::topology::Topology;

use super::gateway_bench::{configure, gateway_with, settings};
use super::records::{ZONE, engine, table};

pub const FIRST_REVISION: u64 = 100;

/// A node of the zone `zone-a` that has read all lists.
pub fn node(index: usize) -> Rc<Gateway> {
    node_in(index, ZONE)
}

pub fn node_in(index: usize, zone: &str) -> Rc<Gateway> {
    node_at(index, zone, Topology::default())
}

/// A node that knows which zone lies in which region.
pub fn node_at(index: usize, zone: &str, topology: Topology) -> Rc<Gateway> {
    let mut own = settings(&format!("node-{index:02}"));
    own.identity.incarnation = index as u64 + 10;
    own.identity.zone = ZoneName::new(zone);
    own.topology = topology;
    let port = 10_000 + index;
    own.identity.peer_address = format!("127.0.0.1:{port}").parse().unwrap();
    own.identity.caller_address = format!("127.0.0.2:{port}").parse().unwrap();
    let gateway = gateway_with(own);
    let now = gateway.clock().now();
    configure(&gateway, table(1, Vec::new()));
    gateway.apply_list(ItemKind::Weights, Vec::new(), FIRST_REVISION, now);
    let entry = engine("e1", "127.0.0.1:1".parse().unwrap(), 1);
    let list = vec![Item::Engine(entry)];
    gateway.apply_list(ItemKind::Engines, list, FIRST_REVISION, now);
    gateway
}

/// Every node has heard of every other.
pub fn introduce(nodes: &[Rc<Gateway>]) {
    for from in nodes {
        for to in nodes {
            to.receive_peer_message(from.peer_message(true));
        }
    }
}

/// A large deployment: twelve nodes of one zone.
pub fn zone_of_many() -> Vec<Rc<Gateway>> {
    let nodes: Vec<_> = (0..12).map(node).collect();
    introduce(&nodes);
    nodes
}

/// Twelve nodes in two zones, each of which has heard of all others.
pub fn two_zones() -> Vec<Rc<Gateway>> {
    let zone_of = |index: usize| if index < 6 { ZONE } else { "zone-b" };
    let nodes: Vec<_> = (0..12)
        .map(|index| node_in(index, zone_of(index)))
        .collect();
    introduce(&nodes);
    nodes
}

/// Three regions of two zones each: `a1` and `a2`, `b1` and `b2`, `c1` and `c2`.
pub const ZONES: [&str; 6] = ["a1", "a2", "b1", "b2", "c1", "c2"];

/// The region of each of these zones.
pub fn three_regions() -> Topology {
    let region_of = |zone: &str| (ZoneName::new(zone), RegionName::new(&zone[..1]));
    Topology::new(ZONES.into_iter().map(region_of).collect())
}

/// So many nodes in each of these zones, in order of the zones; each has heard of all others.
pub fn nodes_in_regions(of_zone: usize) -> Vec<Rc<Gateway>> {
    let node = |index: usize| node_at(index, ZONES[index / of_zone], three_regions());
    let nodes: Vec<_> = (0..ZONES.len() * of_zone).map(node).collect();
    introduce(&nodes);
    nodes
}

pub fn addresses(nodes: &[Rc<Gateway>]) -> Vec<SocketAddr> {
    let all = nodes
        .iter()
        .map(|node| node.settings().identity.peer_address);
    all.collect()
}

/// Delivers zone news, and what is passed on; tells how many messages each node has sent on.
pub fn deliver(nodes: &[Rc<Gateway>], envelopes: Vec<Envelope>) -> Vec<usize> {
    let mut waiting = envelopes;
    let mut sent = vec![0; nodes.len()];
    while let Some((news, receivers)) = waiting.pop() {
        for receiver in receivers {
            let is_receiver =
                |node: &Rc<Gateway>| node.settings().identity.peer_address == receiver;
            let index = nodes.iter().position(is_receiver).expect("receiver");
            let passed_on = nodes[index].receive_zone_update(&news);
            sent[index] += passed_on.iter().map(|parcel| parcel.1.len()).sum::<usize>();
            waiting.extend(passed_on);
        }
    }
    sent
}
