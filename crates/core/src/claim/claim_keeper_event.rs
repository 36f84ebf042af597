//! Events of a claim keeper.

use crate::identity::NodeName;

use super::{ClaimMessage, ClaimRoster};

/// Events that a [`super::ClaimKeeper`] handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimKeeperEvent {
    /// A claiming process or another keeper sent a message.
    Received {
        /// The sender.
        from: NodeName,
        /// The message.
        message: ClaimMessage,
    },
    /// The configuration contains a new roster.
    RosterChanged(ClaimRoster),
    /// Timer tick; expected about every second.
    Tick,
}
