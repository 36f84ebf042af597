//! Which zone lies in which region.

use std::collections::BTreeMap;

use ryerouter_core::identity::{RegionName, ZoneName};

use super::Distance;

/// Which zone lies in which region.
///
/// Without any, all zones lie in one region. Otherwise a zone that is not named lies in a region of
/// its own: to take a far zone for a near one would cost every request its delay.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    regions: BTreeMap<ZoneName, RegionName>,
}

/// Zones that are not remote to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Area<'a> {
    /// All zones, where no region is known.
    AllZones,
    /// The zones of a region.
    Region(&'a RegionName),
    /// A zone whose region is not known.
    Zone(&'a ZoneName),
}

impl Topology {
    /// Zones by the region that each lies in.
    pub fn new(regions: BTreeMap<ZoneName, RegionName>) -> Self {
        Self { regions }
    }

    /// How far two zones are from each other.
    pub fn distance(&self, left: &ZoneName, right: &ZoneName) -> Distance {
        match left == right {
            true => Distance::Near,
            false if self.area(left) == self.area(right) => Distance::SameRegion,
            false => Distance::Remote,
        }
    }

    /// The zones that a zone is not remote to.
    pub fn area<'a>(&'a self, zone: &'a ZoneName) -> Area<'a> {
        match self.regions.get(zone) {
            Some(region) => Area::Region(region),
            None if self.regions.is_empty() => Area::AllZones,
            None => Area::Zone(zone),
        }
    }

    /// Whether a zone's region is known.
    pub fn knows(&self, zone: &ZoneName) -> bool {
        self.regions.contains_key(zone)
    }

    /// Whether a zone lies in a region, as far as known.
    pub fn is_in(&self, zone: &ZoneName, region: &RegionName) -> bool {
        self.regions.get(zone) == Some(region)
    }

    /// Whether there are several regions, so that distances between zones differ.
    pub fn has_regions(&self) -> bool {
        let mut regions = self.regions.values();
        let first = regions.next();
        regions.any(|region| Some(region) != first)
    }
}
