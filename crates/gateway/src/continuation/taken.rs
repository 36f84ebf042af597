//! Tells a node that its records have been taken.

use ryerouter_core::continuation::StreamId;
use serde::{Deserialize, Serialize};

/// Confirms records that are to be stored: the sender writes them, or has them written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken {
    /// The streams.
    #[serde(rename = "i")]
    pub streams: Vec<StreamId>,
}
