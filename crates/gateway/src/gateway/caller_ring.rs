//! From how far away callers are sent to nodes.

use std::net::SocketAddr;

use derive_more::Display;
use rand::Rng;
use rand::seq::IndexedRandom;
use ryerouter_core::identity::{RegionName, ZoneName};

use crate::peers::Capacity;
use crate::topology::Topology;

/// A ring of fewer nodes that serve is too weak: the loss of one would leave none.
const LEAST_NODES: usize = 2;
/// A ring is too weak once less than this share of what its nodes bear is left: what served all its
/// callers before would fall on the few that are left.
const LEAST_SHARE: f64 = 0.5;
/// A node that gets more than this share of the requests that it bears sends callers to nodes by what
/// each bears. Below it all are named alike: callers then keep their connections, and every node sees
/// as much of each tenant and pool as the others, which limits and orders count on.
pub const PRESSED_SHARE: f64 = 0.5;
/// Of unlike nodes a caller is named at least so many: with most of a deployment's nodes killed at
/// once, one of six is alive nearly always.
const LEAST_DRAWN: usize = 6;
/// Of unlike nodes a caller is named one in so many. Callers pick one of them by chance, so naming all
/// of them would send as much to the smallest as to the largest.
const NODES_PER_DRAWN: usize = 4;

/// From how far away callers are sent to nodes; the nearest ring that is strong enough is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum CallerRing {
    /// Nodes of their zone.
    #[display("zone")]
    Zone,
    /// Nodes of their region.
    #[display("region")]
    Region,
    /// All nodes.
    #[display("all")]
    All,
}

/// Where a caller stands, as far as it tells.
#[derive(Debug, Clone, Copy)]
pub struct CallerPlace<'a> {
    /// Its zone.
    pub zone: &'a ZoneName,
    /// Its region, which helps when the zone is not known.
    pub region: Option<&'a RegionName>,
}

/// A node that callers may be sent to.
#[derive(Debug, Clone, Copy)]
pub struct CallerNode<'a> {
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: &'a ZoneName,
    /// How much it can bear.
    pub capacity: Capacity,
    /// Whether it serves, as far as known.
    pub is_ready: bool,
}

impl CallerPlace<'_> {
    /// Whether a node of `zone` belongs to a ring around the caller.
    fn has_in(&self, ring: CallerRing, zone: &ZoneName, topology: &Topology) -> bool {
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
    /// The ring that a caller is served from, and those of its nodes that serve. `nodes` are all that
    /// are known, also those that are silent or leaving: they tell what a ring has lost.
    pub fn of<'a>(
        place: CallerPlace<'_>,
        nodes: &[CallerNode<'a>],
        topology: &Topology,
    ) -> (Self, Vec<CallerNode<'a>>) {
        for ring in [Self::Zone, Self::Region] {
            let known = || {
                let nodes = nodes.iter().copied();
                nodes.filter(|node| place.has_in(ring, node.zone, topology))
            };
            let ready: Vec<_> = known().filter(|node| node.is_ready).collect();
            let left: f64 = ready.iter().map(|node| node.capacity.weight()).sum();
            let whole: f64 = known().map(|node| node.capacity.weight()).sum();
            if ready.len() >= LEAST_NODES && left >= whole * LEAST_SHARE {
                return (ring, ready);
            }
        }
        let ready = nodes.iter().copied().filter(|node| node.is_ready);
        (Self::All, ready.collect())
    }
}

/// The addresses that one answer names: all; or some, drawn in proportion to what each node can bear, when
/// the nodes are unlike and the one that answers is pressed, or when there are more than `most`.
pub fn draw_addresses(
    nodes: &[CallerNode<'_>],
    most: usize,
    is_pressed: bool,
    random: &mut impl Rng,
) -> Vec<SocketAddr> {
    let first = nodes.first().map(|node| node.capacity);
    let are_alike = nodes.iter().all(|node| Some(node.capacity) == first);
    let wanted = match are_alike || !is_pressed {
        true => nodes.len(),
        false => (nodes.len() / NODES_PER_DRAWN).max(LEAST_DRAWN),
    };
    let named = wanted.min(most);
    if named >= nodes.len() {
        return nodes.iter().map(|node| node.address).collect();
    }
    let weight = |node: &CallerNode<'_>| node.capacity.weight();
    match nodes.choose_multiple_weighted(random, named, weight) {
        Ok(drawn) => drawn.map(|node| node.address).collect(),
        // Weights are positive, so this is never reached; any nodes are better than none.
        Err(_) => nodes.iter().take(named).map(|node| node.address).collect(),
    }
}
