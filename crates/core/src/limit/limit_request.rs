//! Request for permits.

use serde::{Deserialize, Serialize};

use crate::identity::TenantName;

use super::LimitCost;

/// Requests permits of a tenant's limit from an allocator and reports the streams that the process
/// holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRequest {
    /// The tenant.
    #[serde(rename = "n")]
    pub tenant: TenantName,
    /// Increases with each request of the process; an allocator ignores requests that are not
    /// newer.
    #[serde(rename = "q")]
    pub serial: u64,
    /// What is wanted.
    #[serde(flatten)]
    pub wanted: LimitCost,
    /// Tokens of the waiting request. A smaller grant is of no use.
    #[serde(rename = "m", default)]
    pub min_tokens: u64,
    /// Streams that the process holds from this allocator; the allocator corrects its own count by
    /// it.
    #[serde(rename = "h", default)]
    pub streams_held: u64,
}
