//! What happens to a keeper.

use crate::identity::NodeName;

use super::{ClaimMessage, ClaimRoster};

/// What happens to a [`super::ClaimKeeper`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimKeeperEvent {
    /// A claiming process sent a message.
    Received {
        /// The sender.
        from: NodeName,
        /// The message.
        message: ClaimMessage,
    },
    /// The configuration names these keepers.
    RosterChanged(ClaimRoster),
    /// Time passed; due about every second.
    Tick,
}
