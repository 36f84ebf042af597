//! Tenants in a resource file.

use ryerouter_wire::generated::v1;
use serde::Deserialize;

/// A tenant in a resource file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantEntry {
    /// Its name.
    pub name: String,
    #[serde(default)]
    api_key_hashes: Vec<String>,
    #[serde(default = "usual_weight")]
    weight: u32,
    #[serde(default)]
    limits: LimitsEntry,
}

/// Limits of a tenant in a resource file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct LimitsEntry {
    requests_per_second: Option<u32>,
    tokens_per_second: Option<u32>,
    concurrent_streams: Option<u32>,
}

impl TenantEntry {
    /// The tenant.
    pub fn message(&self) -> v1::Tenant {
        v1::Tenant {
            name: self.name.clone(),
            api_key_hashes: self.api_key_hashes.clone(),
            weight: self.weight,
            limits: Some(v1::TenantLimits {
                requests_per_second: self.limits.requests_per_second,
                tokens_per_second: self.limits.tokens_per_second,
                concurrent_streams: self.limits.concurrent_streams,
            }),
            version: 0,
        }
    }
}

fn usual_weight() -> u32 {
    1
}
