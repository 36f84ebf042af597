//! A change of a store from quick to slow or back.

use std::net::SocketAddr;

use ryerouter_core::Timestamp;

use super::DelayEstimate;

/// A store has become slow or quick.
#[derive(Debug, Clone, PartialEq)]
pub struct DelayChange {
    /// The store.
    pub store: SocketAddr,
    /// Whether it is slow now.
    pub is_slow: bool,
    /// The estimate that the change is based on; `None` if nobody has measured the store lately.
    pub estimate: Option<DelayEstimate>,
    /// Number of reports of other nodes in the estimate.
    pub reports: usize,
    /// When this node last measured the store.
    pub measured_at: Option<Timestamp>,
}
