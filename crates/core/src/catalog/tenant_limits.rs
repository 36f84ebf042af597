//! Limits of a tenant.

use serde::{Deserialize, Serialize};

/// Limits of a tenant over all router processes together; `None` is unlimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TenantLimits {
    /// Requests a second.
    #[serde(default)]
    pub requests_per_second: Option<u32>,
    /// Prompt and output tokens a second.
    #[serde(default)]
    pub tokens_per_second: Option<u32>,
    /// Streams at once.
    #[serde(default)]
    pub concurrent_streams: Option<u32>,
}
