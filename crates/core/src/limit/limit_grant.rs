//! Permits granted from a tenant's limit.

use serde::{Deserialize, Serialize};

use crate::identity::TenantName;

use super::LimitCost;

/// An allocator's answer to a [`super::LimitRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitGrant {
    /// The tenant.
    #[serde(rename = "n")]
    pub tenant: TenantName,
    /// Serial number of the request. A grant to any other than the last request is void.
    #[serde(rename = "q")]
    pub serial: u64,
    /// What is granted; at most what was wanted.
    #[serde(flatten)]
    pub granted: LimitCost,
}
