//! Distance between two zones.

use derive_more::Display;

/// Distance between two zones; nearer compares as less.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Distance {
    /// The same zone.
    #[display("zone")]
    Near,
    /// Two zones of one region.
    #[display("region")]
    SameRegion,
    /// Zones of different regions.
    #[display("remote")]
    Remote,
}
