//! The engines of a release.

use std::time::Duration;

/// The engines of a release, as the director knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fleet {
    /// Engines of the present version that take work.
    pub present: usize,
    /// Engines of the target version that take work.
    pub target: usize,
    /// Requests that run at engines of the present version, as far as nodes have told.
    pub running_at_present: u32,
    /// Whether a node that may still have requests there is not heard.
    pub has_silent_nodes: bool,
    /// No request of the pool lasts longer.
    pub longest_request: Duration,
}
