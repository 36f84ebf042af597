//! How near another node is.

use super::NodeLocation;

/// How near another node is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Proximity {
    /// In the same zone.
    Zone,
    /// In another zone of the same region.
    Region,
    /// In another region.
    Remote,
}

impl Proximity {
    /// All, nearest first.
    pub const ALL: [Self; 3] = [Self::Zone, Self::Region, Self::Remote];

    /// How near `other` is to `this`.
    pub fn between(this: &NodeLocation, other: &NodeLocation) -> Self {
        if this.region != other.region {
            Self::Remote
        } else if this.zone != other.zone {
            Self::Region
        } else {
            Self::Zone
        }
    }

    /// Share of probes that go to nodes this near. Most failures are found by neighbours, whose
    /// network is fast and cheap; the rest keeps zones and regions in touch.
    pub fn probe_weight(self) -> u32 {
        match self {
            Self::Zone => 10,
            Self::Region => 4,
            Self::Remote => 2,
        }
    }

    /// How many nodes this near are told urgent news at once.
    pub fn fan_out(self) -> usize {
        match self {
            Self::Zone => 2,
            Self::Region | Self::Remote => 1,
        }
    }
}
