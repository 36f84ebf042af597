//! A page of a keeper's records.

use serde::{Deserialize, Serialize};

use crate::timestamp::Timestamp;

use super::{ClaimRecord, RecordsRequest};

/// A page of a keeper's records of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsPage {
    /// The request that this page answers.
    pub ask: RecordsRequest,
    /// The keeper's records contain all claims granted in its name at or after this time.
    pub since: Timestamp,
    /// Claims in order of their expiry second.
    pub claims: Vec<ClaimRecord>,
    /// First expiry second of the next page; `None` on the last page.
    pub next_second: Option<u32>,
}
