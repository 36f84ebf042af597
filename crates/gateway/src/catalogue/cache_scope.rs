//! Which requests share cached prefixes.

use std::fmt;

use ryerouter_core::identity::TenantName;
use xxhash_rust::xxh3::{Xxh3, xxh3_128};

/// Which requests share cached prefixes.
///
/// Engines and KV stores keep prefixes under a salt for longer than a configuration is in force. The
/// salt therefore names the tenants that are kept apart: a prefix that was cached while a tenant still
/// shared with the others is never found after it has been isolated. It depends on the configuration
/// alone, so all nodes agree on it, also after a restart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheScope {
    /// Requests of one isolated tenant.
    Tenant(TenantName),
    /// Requests of all tenants that are not isolated, and requests without a tenant.
    Shared(IsolationDigest),
}

/// Digest of the names of the isolated tenants; `None` if there are none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IsolationDigest(Option<u128>);

impl IsolationDigest {
    /// Computes the digest. The order of the names and their repetitions don't matter.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a TenantName>) -> Self {
        let mut names: Vec<_> = names.into_iter().map(TenantName::as_str).collect();
        if names.is_empty() {
            return Self(None);
        }
        names.sort_unstable();
        names.dedup();
        let mut hasher = Xxh3::new();
        for name in names {
            // The length keeps lists apart whose names only join to the same text.
            hasher.update(&(name.len() as u64).to_le_bytes());
            hasher.update(name.as_bytes());
        }
        Self(Some(hasher.digest128()))
    }
}

impl fmt::Display for IsolationDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(digest) => write!(formatter, "{digest:032x}"),
            None => formatter.write_str("none"),
        }
    }
}

impl CacheScope {
    /// The salt of a prompt's keys under one version of the weights.
    pub fn salt(&self, weights: u64) -> String {
        match self {
            Self::Tenant(tenant) if is_kept_in_header(tenant.as_str()) => {
                format!("w{weights}.{tenant}")
            }
            Self::Tenant(tenant) => {
                format!("w{weights}:{:032x}", xxh3_128(tenant.as_str().as_bytes()))
            }
            Self::Shared(IsolationDigest(None)) => format!("w{weights}"),
            // No tenant's salt begins like this, whatever its name.
            Self::Shared(isolated) => format!("w{weights}~{isolated}"),
        }
    }
}

impl Default for CacheScope {
    fn default() -> Self {
        Self::Shared(IsolationDigest::default())
    }
}

/// Whether a header field that ends with this text arrives as it is: without one, engines would share what they cache.
fn is_kept_in_header(text: &str) -> bool {
    text.trim() == text && !text.contains(char::is_control)
}
