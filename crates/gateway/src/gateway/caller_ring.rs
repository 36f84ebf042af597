//! From how far away callers are sent to nodes.

use std::net::SocketAddr;

use derive_more::Display;
use rand::Rng;
use rand::seq::IndexedRandom;
use ryerouter_core::identity::{RegionName, ZoneName};

use crate::peers::Capacity;
use crate::places::Places;

/// A ring of fewer nodes that serve is too weak: the loss of one would leave none.
const MIN_READY_NODES: usize = 2;
/// A ring is too weak once less than this share of what its nodes bear is left: what served all its
/// callers before would fall on the few that are left.
const MIN_REMAINING_CAPACITY: f64 = 0.5;
/// A node that gets more than this share of the requests that it bears sends callers to nodes by what
/// each bears. Below it all are named alike: callers then keep their connections, and every node sees
/// as much of each tenant and pool as the others, which limits and orders count on.
pub const HIGH_LOAD_SHARE: f64 = 0.5;
/// Of unlike nodes a caller is named at least so many: with most of a deployment's nodes killed at
/// once, one of six is alive nearly always.
const MIN_DRAWN_NODES: usize = 6;
/// Of unlike nodes a caller is named one in so many. Callers pick one of them by chance, so naming all
/// of them would send as much to the smallest as to the largest.
const NODES_PER_DRAWN_NODE: usize = 4;

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
pub struct CallerLocation<'a> {
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

impl CallerLocation<'_> {
    /// Whether a node of `zone` belongs to a ring around the caller.
    fn has_in(&self, ring: CallerRing, zone: &ZoneName, places: &Places) -> bool {
        match (ring, self.region) {
            (CallerRing::Zone, _) => zone == self.zone,
            (CallerRing::Region, Some(region)) if !places.knows(self.zone) => {
                places.is_in(zone, region)
            }
            (CallerRing::Region, _) => places.area(zone) == places.area(self.zone),
            (CallerRing::All, _) => true,
        }
    }
}

impl CallerRing {
    /// The ring that a caller is served from, and those of its nodes that serve. `nodes` are all that
    /// are known, also those that are silent or leaving: they tell what a ring has lost.
    pub fn of<'a>(
        place: CallerLocation<'_>,
        nodes: &[CallerNode<'a>],
        places: &Places,
    ) -> (Self, Vec<CallerNode<'a>>) {
        for ring in [Self::Zone, Self::Region] {
            let known = || {
                let nodes = nodes.iter().copied();
                nodes.filter(|node| place.has_in(ring, node.zone, places))
            };
            let ready: Vec<_> = known().filter(|node| node.is_ready).collect();
            let left: f64 = ready.iter().map(|node| node.capacity.weight()).sum();
            let whole: f64 = known().map(|node| node.capacity.weight()).sum();
            if ready.len() >= MIN_READY_NODES && left >= whole * MIN_REMAINING_CAPACITY {
                return (ring, ready);
            }
        }
        let ready = nodes.iter().copied().filter(|node| node.is_ready);
        (Self::All, ready.collect())
    }
}

/// The addresses that one answer names: all; or some, drawn in proportion to what each node can bear, when
/// the nodes are unlike and the one that answers is pressed, or when there are more than `max`.
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
        // Weights are positive, so this is never reached; any nodes are better than none.
        Err(_) => nodes.iter().take(named).map(|node| node.address).collect(),
    }
}
