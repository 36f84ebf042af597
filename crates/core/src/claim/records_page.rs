//! Copies of a keeper's memory.

use serde::{Deserialize, Serialize};

use crate::timestamp::Timestamp;

use super::{ClaimRecord, RecordsRequest};

/// A part of what a keeper remembers of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsPage {
    /// The question.
    pub ask: RecordsRequest,
    /// The keeper remembers all that was granted in its name at or after this time.
    pub since: Timestamp,
    /// Claims in order of the second they may be forgotten.
    pub claims: Vec<ClaimRecord>,
    /// Where the next part begins; `None` after the last.
    pub next_second: Option<u32>,
}
