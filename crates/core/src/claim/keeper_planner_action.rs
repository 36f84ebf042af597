//! What the choice of keepers wants done.

use derive_more::From;

use super::{ClaimEnvelope, ClaimRoster};

/// What a [`super::KeeperPlanner`] wants done.
#[derive(Debug, Clone, PartialEq, Eq, From)]
pub enum KeeperPlannerAction {
    /// Send a message.
    Send(ClaimEnvelope),
    /// Write this roster into the configuration, if its `version` is still the one in force.
    Propose(ClaimRoster),
}
