//! Origin of reported counts of answers.

use ryerouter_core::identity::ZoneName;
use ryerouter_core::release::Reporter;
use xxhash_rust::xxh3::xxh3_64;

/// Set in the keys of zones to distinguish them from the keys of nodes, which are 32-bit incarnations.
const ZONE_BIT: Reporter = 1 << 63;

/// Origin of reported counts of answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A node of this zone.
    SameZone,
    /// A node of another zone.
    OtherZone,
    /// All nodes of another zone, added up.
    ZoneTotal,
}

/// Computes the key that identifies a zone as a reporter.
pub fn zone_reporter(zone: &ZoneName) -> Reporter {
    xxh3_64(zone.as_str().as_bytes()) | ZONE_BIT
}
