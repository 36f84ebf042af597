//! A place in the history of the source.

use derive_more::Display;

/// A place in the history of the source.
///
/// The source may come back from a copy that is some seconds old. It then loses what it acknowledged since, counts on
/// from an earlier number, and gives the same numbers to other changes. Each return begins another era, so numbers are
/// compared within one era only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display)]
#[display("{era}.{number}")]
pub struct Revision {
    /// Number of the era; zero while the source tells none.
    pub era: u64,
    /// Number of the change within the era, or within the copy that the era began with.
    pub number: u64,
}

impl Revision {
    /// A place in an era.
    pub fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

/// A place in the history of a source that tells no eras.
impl From<u64> for Revision {
    fn from(number: u64) -> Self {
        Self { era: 0, number }
    }
}
