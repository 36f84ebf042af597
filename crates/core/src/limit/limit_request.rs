//! Ask for tickets.

use serde::{Deserialize, Serialize};

use crate::identity::TenantName;

use super::LimitCost;

/// Asks a bank for tickets of a tenant's limit, and says how many of its streams run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRequest {
    /// The tenant.
    #[serde(rename = "n")]
    pub tenant: TenantName,
    /// Rises with each ask of the process; a bank ignores all but newer ones.
    #[serde(rename = "q")]
    pub serial: u64,
    /// What is wanted.
    #[serde(flatten)]
    pub wanted: LimitCost,
    /// Tokens of the request that waits: fewer are of no use.
    #[serde(rename = "m", default)]
    pub min_tokens: u64,
    /// Streams that the process holds of this bank; the bank's own count is corrected by it.
    #[serde(rename = "h", default)]
    pub streams_held: u64,
}
