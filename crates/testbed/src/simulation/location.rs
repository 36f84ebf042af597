//! Where a party stands.

/// Where a party stands, by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Location {
    /// Region.
    pub region: usize,
    /// Zone, counted over all regions.
    pub zone: usize,
}
