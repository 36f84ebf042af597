//! The region of each zone.

use std::collections::BTreeMap;

use ryerouter_core::identity::{RegionName, ZoneName};

use super::Distance;

/// The region of each zone.
///
/// If no zone is listed, all zones belong to one region. Otherwise an unlisted zone is a region of
/// its own: treating a far zone as near would add the delay between regions to every request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    regions: BTreeMap<ZoneName, RegionName>,
}

/// A set of zones that are not remote from each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Area<'a> {
    /// All zones, if no region is known.
    AllZones,
    /// The zones of a region.
    Region(&'a RegionName),
    /// A single zone whose region is not known.
    Zone(&'a ZoneName),
}

impl Topology {
    /// Creates a topology from the region of each zone.
    pub fn new(regions: BTreeMap<ZoneName, RegionName>) -> Self {
        Self { regions }
    }

    /// Distance between two zones.
    pub fn distance(&self, left: &ZoneName, right: &ZoneName) -> Distance {
        match left == right {
            true => Distance::Near,
            false if self.area(left) == self.area(right) => Distance::SameRegion,
            false => Distance::Remote,
        }
    }

    /// The set of zones that are not remote from `zone`.
    pub fn area<'a>(&'a self, zone: &'a ZoneName) -> Area<'a> {
        match self.regions.get(zone) {
            Some(region) => Area::Region(region),
            None if self.regions.is_empty() => Area::AllZones,
            None => Area::Zone(zone),
        }
    }

    /// Whether the zone's region is known.
    pub fn knows(&self, zone: &ZoneName) -> bool {
        self.regions.contains_key(zone)
    }

    /// Whether the zone is known to belong to the region.
    pub fn is_in(&self, zone: &ZoneName, region: &RegionName) -> bool {
        self.regions.get(zone) == Some(region)
    }

    /// Whether there are at least two regions, so that distances between zones differ.
    pub fn has_regions(&self) -> bool {
        let mut regions = self.regions.values();
        let first = regions.next();
        regions.any(|region| Some(region) != first)
    }
}
