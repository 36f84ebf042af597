//! A tenant.

use serde::{Deserialize, Serialize};

use super::{ApiKeyHash, TenantLimits};
use crate::identity::{ResourceVersion, TenantName};

/// Someone whose requests are served, whose cache entries no other tenant may learn of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, unique among tenants.
    pub name: TenantName,
    /// Hashes of the API keys that identify it.
    #[serde(default)]
    pub api_key_hashes: Vec<ApiKeyHash>,
    /// Its share of capacity against other tenants when both wait; 1 is usual.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Its limits.
    #[serde(default)]
    pub limits: TenantLimits,
    /// Version of the configuration that last changed it.
    #[serde(default)]
    pub version: ResourceVersion,
}

fn default_weight() -> u32 {
    1
}
