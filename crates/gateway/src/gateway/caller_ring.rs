//! Selects the nodes that callers are sent to, by distance.

use std::net::SocketAddr;

use derive_more::Display;
use rand::Rng;
use rand::seq::IndexedRandom;
use ryerouter_core::identity::{RegionName, ZoneName};

use crate::peers::Capacity;
use crate::topology::Topology;

/// Minimum number of ready nodes of a ring: with a single one, its loss would leave none.
const MIN_READY_NODES: usize = 2;
/// Minimum share of a ring's capacity that its ready nodes must have; below it the load of all the
/// ring's callers would fall on the few nodes that are left.
const MIN_REMAINING_CAPACITY: f64 = 0.5;
/// Request rate of a node, as a share of its capacity, above which its answers select nodes with a
/// probability proportional to their capacity. Below it each answer names all nodes: callers then
/// keep their connections, and every node receives an equal part of the requests of each tenant and
/// pool, which limits and orders assume.
pub const HIGH_LOAD_SHARE: f64 = 0.5;
/// Minimum number of addresses named to a caller when nodes differ in capacity: even when most
/// nodes of a deployment are killed at once, one of six is nearly always alive.
const MIN_DRAWN_NODES: usize = 6;
/// When nodes differ in capacity, an answer names one of this many nodes. Callers pick one of the
/// named addresses at random, so naming all of them would send as much to the smallest node as to
/// the largest.
const NODES_PER_DRAWN_NODE: usize = 4;

/// A set of nodes around a caller, by distance. The nearest ring with enough ready nodes and
/// capacity serves the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum CallerRing {
    /// Nodes of the caller's zone.
    #[display("zone")]
    Zone,
    /// Nodes of the caller's region.
    #[display("region")]
    Region,
    /// All nodes.
    #[display("all")]
    All,
}

/// Where a caller is located, as it states.
#[derive(Debug, Clone, Copy)]
pub struct CallerLocation<'a> {
    /// The caller's zone.
    pub zone: &'a ZoneName,
    /// The caller's region; used when the zone is not known.
    pub region: Option<&'a RegionName>,
}

/// A node that callers may be sent to.
#[derive(Debug, Clone, Copy)]
pub struct CallerNode<'a> {
    /// Address where callers reach the node.
    pub address: SocketAddr,
    /// The node's zone.
    pub zone: &'a ZoneName,
    /// The node's capacity.
    pub capacity: Capacity,
    /// Whether the node serves requests, as far as known.
    pub is_ready: bool,
}

impl CallerLocation<'_> {
    /// Whether a node in `zone` belongs to the given ring around the caller.
    fn ring_contains(&self, ring: CallerRing, zone: &ZoneName, topology: &Topology) -> bool {
        match (ring, self.region) {
            (CallerRing::Zone, _) => zone == self.zone,
            (CallerRing::Region, Some(region)) if !topology.knows(self.zone) => {
                topology.is_in(zone, region)
            }
            (CallerRing::Region, _) => topology.area(zone) == topology.area(self.zone),
            (CallerRing::All, _) => true,
        }
    }
}

impl CallerRing {
    /// Selects the ring that serves a caller and returns it with its ready nodes. `nodes` are all
    /// known nodes, including silent and leaving ones, which show how much capacity a ring has
    /// lost.
    pub fn of<'a>(
        location: CallerLocation<'_>,
        nodes: &[CallerNode<'a>],
        topology: &Topology,
    ) -> (Self, Vec<CallerNode<'a>>) {
        for ring in [Self::Zone, Self::Region] {
            let known = || {
                let nodes = nodes.iter().copied();
                nodes.filter(|node| location.ring_contains(ring, node.zone, topology))
            };
            let ready: Vec<_> = known().filter(|node| node.is_ready).collect();
            let remaining: f64 = ready.iter().map(|node| node.capacity.weight()).sum();
            let total: f64 = known().map(|node| node.capacity.weight()).sum();
            if ready.len() >= MIN_READY_NODES && remaining >= total * MIN_REMAINING_CAPACITY {
                return (ring, ready);
            }
        }
        let ready = nodes.iter().copied().filter(|node| node.is_ready);
        (Self::All, ready.collect())
    }
}

/// The addresses that one answer names: all of them, or a random selection weighted by capacity
/// when the nodes differ in capacity and the answering node is under high load, or when there are
/// more than `max`.
pub fn draw_addresses(
    nodes: &[CallerNode<'_>],
    max: usize,
    is_under_high_load: bool,
    random: &mut impl Rng,
) -> Vec<SocketAddr> {
    let first = nodes.first().map(|node| node.capacity);
    let are_alike = nodes.iter().all(|node| Some(node.capacity) == first);
    let wanted = match are_alike || !is_under_high_load {
        true => nodes.len(),
        false => (nodes.len() / NODES_PER_DRAWN_NODE).max(MIN_DRAWN_NODES),
    };
    let named = wanted.min(max);
    if named >= nodes.len() {
        return nodes.iter().map(|node| node.address).collect();
    }
    let weight = |node: &CallerNode<'_>| node.capacity.weight();
    match nodes.choose_multiple_weighted(random, named, weight) {
        Ok(drawn) => drawn.map(|node| node.address).collect(),
        // Unreachable, since weights are positive; any nodes are better than none.
        Err(_) => nodes.iter().take(named).map(|node| node.address).collect(),
    }
}
