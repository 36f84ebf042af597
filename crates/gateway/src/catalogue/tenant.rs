//! A tenant.

use ryerouter_core::identity::TenantName;

use super::RateLimit;

/// A tenant as the configuration describes it.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: TenantName,
    /// Its keys.
    pub keys: Vec<String>,
    /// Urgency of its requests, 0 first; takes precedence over the route's.
    pub priority: Option<u8>,
    /// Whether it shares no cached prefix with other tenants.
    pub is_isolated: bool,
    /// What it may use; `None` for as much as it likes.
    pub rate_limit: Option<RateLimit>,
}
