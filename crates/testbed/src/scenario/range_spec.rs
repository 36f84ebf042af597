//! A range of whole numbers.

use serde::{Deserialize, Serialize};

/// A range of whole numbers, both ends included, each number equally likely.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u32; 2]", into = "[u32; 2]")]
pub struct RangeSpec {
    /// The smallest number.
    pub least: u32,
    /// The largest number.
    pub most: u32,
}

impl RangeSpec {
    /// The mean of the numbers.
    pub fn mean(&self) -> f64 {
        (f64::from(self.least) + f64::from(self.most)) / 2.0
    }
}

impl From<[u32; 2]> for RangeSpec {
    fn from([least, most]: [u32; 2]) -> Self {
        Self { least, most }
    }
}

impl From<RangeSpec> for [u32; 2] {
    fn from(range: RangeSpec) -> Self {
        [range.least, range.most]
    }
}
