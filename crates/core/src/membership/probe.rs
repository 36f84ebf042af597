//! A probe.

use crate::identity::NodeName;
use crate::timestamp::Timestamp;

/// A probe that was not answered yet.
#[derive(Debug, Clone)]
pub struct Probe {
    /// The node that is probed.
    pub target: NodeName,
    /// Sequence of the ping.
    pub sequence: u64,
    /// When it began.
    pub started_at: Timestamp,
    /// Whether others were asked to ping the target too.
    pub is_indirect: bool,
}
