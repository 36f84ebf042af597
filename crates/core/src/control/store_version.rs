//! Version of one object.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Bits of a version that tell the revision within an era of the store.
const REVISION_BITS: u32 = 40;

/// Version of one object; rises with each write of its key.
///
/// A store that comes back from a copy gives revisions out again, in another era. Versions of a later era are the higher
/// ones.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
    Display,
)]
#[serde(transparent)]
pub struct StoreVersion(pub u64);

impl StoreVersion {
    /// The version that an object has by its revision in an era.
    pub fn in_era(era: u64, revision: u64) -> Self {
        Self((era << REVISION_BITS) | revision)
    }

    /// The era of the store; zero if it tells none.
    pub fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// The revision within the era.
    pub fn revision(self) -> u64 {
        self.0 & ((1 << REVISION_BITS) - 1)
    }
}
