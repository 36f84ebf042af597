//! The platform.

use std::net::SocketAddr;
use std::time::Duration;

/// The platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The object API.
    pub object_api: SocketAddr,
    /// The machine list.
    pub machine_list: SocketAddr,
    /// Longest wait for an answer.
    pub call_timeout: Duration,
    /// Longest silence of a watch.
    pub watch_idle_timeout: Duration,
    /// Time between two reads of the machine list.
    pub machine_list_interval: Duration,
}
