//! News of a grant.

use ryerouter_core::release::Grant;
use serde::{Deserialize, Serialize};

/// What the director of a release allows, as one node tells another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReleaseUpdate {
    /// What it allows.
    #[serde(rename = "g")]
    pub grant: Grant,
    /// How long before the message the director had allowed it, in milliseconds. The datagram itself may be
    /// of any age, so a grant is believed for somewhat longer than it should be: well under a second, as
    /// nodes pass newer ones on three times a second.
    #[serde(rename = "a")]
    pub age_ms: u64,
}
