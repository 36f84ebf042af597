//! Events of the keeper planner.

use std::collections::{BTreeMap, BTreeSet};

use crate::identity::{NodeName, ZoneName};

use super::{ClaimRoster, EpochConfirmation};

/// Events that a [`super::KeeperPlanner`] handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeeperPlannerEvent {
    /// The configuration contains a new roster.
    RosterChanged(ClaimRoster),
    /// Current membership; expected about every second.
    MembersSeen {
        /// Live nodes with their zones.
        alive: BTreeMap<NodeName, ZoneName>,
        /// Known nodes whose machines are missing from a current machine list.
        gone: BTreeSet<NodeName>,
    },
    /// A keeper confirmed an epoch.
    Confirmed {
        /// The keeper.
        from: NodeName,
        /// The confirmed epoch.
        confirmation: EpochConfirmation,
    },
}
