//! Request for a page of a keeper's records.

use serde::{Deserialize, Serialize};

/// Requests a page of a keeper's records of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsRequest {
    /// Index of the group in the roster.
    pub group: usize,
    /// Epoch of the group.
    pub epoch: u64,
    /// Number of the copy, which distinguishes its pages from those of an earlier copy.
    pub round: u64,
    /// First expiry second of the requested claims.
    pub from_second: u32,
}
