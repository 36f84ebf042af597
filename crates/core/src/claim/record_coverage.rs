//! How far back a keeper's records reach.

use crate::timestamp::Timestamp;

/// How far back a keeper's records of one group reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordCoverage {
    /// The records contain all claims ever granted in the keeper's name.
    Complete,
    /// The records contain all claims granted in the keeper's name at or after this time.
    Since(Timestamp),
}
