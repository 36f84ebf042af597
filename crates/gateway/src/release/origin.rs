//! Who reports answers.

use ryerouter_core::identity::ZoneName;
use ryerouter_core::release::Reporter;
use xxhash_rust::xxh3::xxh3_64;

/// Set in the keys of zones: those of nodes are incarnations of 32 bits.
const ZONE_BIT: Reporter = 1 << 63;

/// Who a reporter of answers is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A node of this zone.
    SameZone,
    /// A node of another zone.
    OtherZone,
    /// All nodes of another zone together.
    ZoneTotal,
}

/// Stands for a zone among the reporters.
pub fn zone_reporter(zone: &ZoneName) -> Reporter {
    xxh3_64(zone.as_str().as_bytes()) | ZONE_BIT
}
