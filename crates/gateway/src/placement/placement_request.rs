//! The properties of a request that placement depends on.

use std::time::Duration;

use ryerouter_core::identity::{BackEndName, PoolName, TenantName};

use super::Prompt;

/// The properties of a request that placement depends on.
#[derive(Debug, Clone)]
pub struct PlacementRequest<'a> {
    /// Id of the request; seeds the sample of engines and breaks ties.
    pub id: &'a str,
    /// The pool that serves it.
    pub pool: &'a PoolName,
    /// The prompt; `None` for requests to plain services.
    pub prompt: Option<&'a Prompt>,
    /// The tenant, if its cached prefixes must not be shared with other tenants.
    pub isolated_tenant: Option<&'a TenantName>,
    /// Latency of the first token that the caller asks for.
    pub target_latency: Duration,
    /// Size of the request body.
    pub body_bytes: usize,
    /// Back ends to which earlier attempts were sent.
    pub tried: &'a [BackEndName],
}

impl PlacementRequest<'_> {
    /// The salt of the prompt's keys. Prefixes are shared only between requests with the same
    /// weights and, for isolated tenants, the same tenant.
    pub fn salt(&self, weights: u64) -> String {
        match self.isolated_tenant {
            Some(tenant) => format!("w{weights}.{tenant}"),
            None => format!("w{weights}"),
        }
    }
}
