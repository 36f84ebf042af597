//! Tells other nodes which versions serve a pool.

use ryerouter_core::identity::PoolName;
use ryerouter_core::release::SoftwareVersion;
use serde::{Deserialize, Serialize};

/// Versions of a pool that several versions serve, or did lately, as the sender's own list held them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedVersions {
    /// The pool.
    #[serde(rename = "p")]
    pub pool: PoolName,
    /// The versions, each with the time in milliseconds since it was last listed.
    #[serde(rename = "v")]
    pub versions: Vec<(SoftwareVersion, u64)>,
}
