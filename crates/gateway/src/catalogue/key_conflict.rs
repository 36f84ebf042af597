//! A key that two tenants hold.

use ryerouter_core::identity::TenantName;

/// A key that the configuration gives to two tenants. The key itself is a secret and not kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyConflict {
    /// The tenant for which requests with the key count: the one listed last.
    pub holder: TenantName,
    /// The other tenant.
    pub other: TenantName,
}
