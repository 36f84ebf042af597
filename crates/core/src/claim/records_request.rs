//! The question for a part of what a keeper remembers.

use serde::{Deserialize, Serialize};

/// Asks a keeper for a part of what it remembers of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsRequest {
    /// Position of the group in the roster.
    pub group: usize,
    /// Epoch of the group.
    pub epoch: u64,
    /// Tells the answers to one copy from those to an earlier one.
    pub round: u64,
    /// Claims that may be forgotten from this second on are wanted.
    pub from_second: u32,
}
