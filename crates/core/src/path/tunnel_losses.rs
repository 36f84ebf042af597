//! Tunnels that were lost with the node through which they went.

use std::time::Duration;

use crate::timestamp::Timestamp;

/// Losses of tunnels through one node since one of them last carried an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct TunnelLosses {
    /// For how long the node is avoided.
    pub(super) time: Duration,
    /// Until when.
    pub(super) until: Timestamp,
}
