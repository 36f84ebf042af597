//! What nodes tell each other of a leaving machine.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::timestamp::Timestamp;

/// What the machine list was seen to say of a machine; the later sight wins.
///
/// A node tells only what has changed between two of its own readings, so a reader whose list lags
/// does not take back what another has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Where the machine's process listens.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// When the change was seen.
    #[serde(rename = "t")]
    pub seen_at: Timestamp,
    /// Whether the machine leaves.
    #[serde(rename = "l")]
    pub leaving: bool,
}

impl MachineRecord {
    /// Whether this record replaces `other` of the same machine.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.seen_at, self.leaving) > (other.seen_at, other.leaving)
    }
}
