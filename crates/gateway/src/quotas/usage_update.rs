//! News of what tenants use.

use ryerouter_core::identity::TenantName;
use ryerouter_core::quota::Usage;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Stands for a tenant's name in messages, where each byte counts. Two tenants of a thousand share
/// one with a chance of one in eight thousand; they are then held to their limits too strictly.
pub type TenantKey = u32;

/// The key of a tenant.
pub fn tenant_key(tenant: &TenantName) -> TenantKey {
    xxh3_64(tenant.as_str().as_bytes()) as TenantKey
}

/// What a tenant uses at the sender, or at the nodes of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct UsageUpdate(pub TenantKey, pub Usage);
