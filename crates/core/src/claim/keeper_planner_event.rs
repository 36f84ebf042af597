//! What happens to the choice of keepers.

use std::collections::{BTreeMap, BTreeSet};

use crate::identity::{NodeName, ZoneName};

use super::{ClaimRoster, EpochConfirmation};

/// What happens to a [`super::KeeperPlanner`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeeperPlannerEvent {
    /// The configuration names these keepers.
    RosterChanged(ClaimRoster),
    /// Membership as known now; due about every second.
    MembersSeen {
        /// Nodes that are alive, with their zones.
        alive: BTreeMap<NodeName, ZoneName>,
        /// Known nodes whose machines a current machine list does not show.
        gone: BTreeSet<NodeName>,
    },
    /// A keeper confirmed an epoch.
    Confirmed {
        /// The keeper.
        from: NodeName,
        /// What it confirmed.
        confirmation: EpochConfirmation,
    },
}
