//! Messages about the usage of tenants.

use ryerouter_core::identity::TenantName;
use ryerouter_core::quota::Usage;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Hash that represents a tenant's name in messages, where size matters. With a thousand tenants,
/// two of them share a key with a probability of about one in eight thousand; their limits are then
/// enforced too strictly.
pub type TenantKey = u32;

/// Computes the key of a tenant.
pub fn tenant_key(tenant: &TenantName) -> TenantKey {
    xxh3_64(tenant.as_str().as_bytes()) as TenantKey
}

/// Usage of a tenant at the sender, or at all nodes of the sender's zone.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct UsageUpdate(pub TenantKey, pub Usage);
