//! Where a node runs.

use crate::identity::{RegionName, ZoneName};

/// Where a node runs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Site {
    /// Its region; `None` where regions are not known.
    pub region: Option<RegionName>,
    /// Its zone.
    pub zone: ZoneName,
}
