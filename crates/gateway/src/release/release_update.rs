//! Message that passes on a grant.

use ryerouter_core::release::Grant;
use serde::{Deserialize, Serialize};

/// A grant of the director of a release, as one node sends it to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReleaseUpdate {
    /// The grant.
    #[serde(rename = "g")]
    pub grant: Grant,
    /// Age of the grant when the message was sent, in milliseconds. The time that the datagram takes is not known, so
    /// a grant is considered valid for somewhat longer than it should be: by well under a second, as nodes pass
    /// on newer grants three times a second.
    #[serde(rename = "a")]
    pub age_ms: u64,
}
