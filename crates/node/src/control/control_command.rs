//! What other threads ask of the control thread.

use ryerouter_core::config::{Change, ChangeAccepted, ChangeRefusal};
use tokio::sync::oneshot;

use super::{ControlReport, GrantSink};

/// What other threads ask of the control thread.
pub enum ControlCommand {
    /// Make or check a change of configuration.
    Change {
        /// The change.
        change: Change,
        /// Whether it is only checked.
        dry_run: bool,
        /// Where the result goes.
        reply: oneshot::Sender<Result<ChangeAccepted, ChangeRefusal>>,
    },
    /// Tell what is known of all nodes.
    Status {
        /// Where the answer goes.
        reply: oneshot::Sender<ControlReport>,
    },
    /// Give tickets of tenants' limits to this sink from now on.
    SetGrantSink(Box<dyn GrantSink>),
    /// Begin a planned stop.
    Stop,
    /// The last request in progress has ended.
    TrafficEnded,
}
