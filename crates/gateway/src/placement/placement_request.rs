//! What placement knows of a request.

use std::time::Duration;

use ryerouter_core::identity::{BackEndName, PoolName, TenantName};

use super::Prompt;

/// What placement knows of a request.
#[derive(Debug, Clone)]
pub struct PlacementRequest<'a> {
    /// Names the request; breaks ties.
    pub id: &'a str,
    /// The pool that serves it.
    pub pool: &'a PoolName,
    /// Its prompt; `None` for plain requests.
    pub prompt: Option<&'a Prompt>,
    /// The tenant, when it shares no cached prefix with others.
    pub isolated_tenant: Option<&'a TenantName>,
    /// Time to the first token that callers hope for.
    pub target_latency: Duration,
    /// Bytes of its body.
    pub body_bytes: usize,
    /// Back ends that it was sent to before.
    pub tried: &'a [BackEndName],
}

impl PlacementRequest<'_> {
    /// The text that separates cached prefixes: same weights, and same tenant where isolated.
    pub fn salt(&self, weights: u64) -> String {
        match self.isolated_tenant {
            Some(tenant) => format!("w{weights}.{tenant}"),
            None => format!("w{weights}"),
        }
    }
}
