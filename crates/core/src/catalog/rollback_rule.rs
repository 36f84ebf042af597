//! When a migration stage is taken back by itself.

use serde::{Deserialize, Serialize};

/// Bounds measured at the target data centre; the stage rolls back when one is broken. `None` is
/// not checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RollbackRule {
    /// 99th percentile of the time to first token, in milliseconds, that may not be exceeded.
    #[serde(default)]
    pub max_first_token_p99_ms: Option<u32>,
    /// Failed requests in thousandths that may not be exceeded.
    #[serde(default)]
    pub max_error_permille: Option<u16>,
    /// Prefix hit rate in thousandths that must be reached.
    #[serde(default)]
    pub min_hit_rate_permille: Option<u16>,
}
