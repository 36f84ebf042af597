//! How far two zones are from each other.

use derive_more::Display;

/// How far two zones are from each other; the nearer is the less.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Distance {
    /// They are the same zone.
    #[display("zone")]
    Near,
    /// They are two zones of one region.
    #[display("region")]
    SameRegion,
    /// They lie in two regions.
    #[display("remote")]
    Remote,
}
