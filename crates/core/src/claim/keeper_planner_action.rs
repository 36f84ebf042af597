//! Actions of the keeper planner.

use derive_more::From;

use super::{ClaimEnvelope, ClaimRoster};

/// Actions that a [`super::KeeperPlanner`] requests.
#[derive(Debug, Clone, PartialEq, Eq, From)]
pub enum KeeperPlannerAction {
    /// Send a message.
    Send(ClaimEnvelope),
    /// Write this roster to the configuration, provided that its `version` is still the current
    /// one.
    Propose(ClaimRoster),
}
