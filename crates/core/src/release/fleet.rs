//! Engines of a pool during a release.

use std::time::Duration;

/// Engines of a pool during a release, as known to the director.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fleet {
    /// Number of engines of the present version that accept requests.
    pub present: usize,
    /// Number of engines of the target version that accept requests.
    pub target: usize,
    /// Number of requests in progress on engines of the present version, as far as reported.
    pub running_at_present: u32,
    /// Whether a node that may still have requests on engines of the present version does not report.
    pub has_silent_nodes: bool,
    /// Maximum duration of a request of the pool.
    pub max_request_duration: Duration,
}
