//! A handover of the order lease.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::NodeName;

/// Minimum time after its succession for which a successor keeps the lease. Nothing is ordered for
/// some seconds after a handover, so nodes that each reach other engines need time for theirs.
const MIN_TENURE: Duration = Duration::from_secs(5);

/// A handover of the order lease, by this or another node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handover {
    /// The node that gave it up. It takes the lease last.
    pub former_holder: NodeName,
    /// The node that takes the lease next.
    pub successor: NodeName,
    /// Fencing number of the lease that was given up.
    pub fence: u64,
    /// When it was given up.
    pub at: Timestamp,
    /// For how long the successor comes before all other nodes: the time for which a lease that was
    /// given up must rest, and some more. After that it holds the lease, or it does not need it.
    pub succession: Duration,
}

impl Handover {
    /// Whether it decides which node takes the lease.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        now.since(self.at) < self.succession
    }

    /// Whether the lease may be handed over again.
    pub fn may_be_followed(&self, now: Timestamp) -> bool {
        now.since(self.at) >= self.succession + MIN_TENURE
    }
}
