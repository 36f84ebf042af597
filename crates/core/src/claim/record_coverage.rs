//! How far back a keeper's memory reaches.

use crate::timestamp::Timestamp;

/// How far back a keeper's memory of one group's claims reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordCoverage {
    /// It remembers all that was ever granted in its name.
    Whole,
    /// It remembers all that was granted in its name at or after this time.
    Since(Timestamp),
}
