//! A tenant.

use serde::{Deserialize, Serialize};

/// A tenant and its share of the load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// Its name.
    pub name: String,
    /// Its part of all requests, against the sum of all tenants' parts.
    pub share: f64,
    /// Tokens of its own instructions, which all its requests share after the house style.
    pub instruction_tokens: u32,
}
