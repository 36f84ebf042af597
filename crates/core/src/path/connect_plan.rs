//! How a connection to an engine is opened.

use std::time::Duration;

/// How a connection to an engine is opened. Whichever way comes up first is used; a way whose turn has not come is tried
/// as soon as the other has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectPlan {
    /// Directly, and also through another node if the connection is not up after this time.
    Direct {
        /// Time until the tunnel is tried.
        tunnel_after: Duration,
    },
    /// Through another node, and directly only if that fails.
    Tunnel,
    /// Not at all: neither this node nor the others that it asked reached the engine just now. A probe shows when that
    /// is over.
    OutOfReach,
}
