//! Options of a demonstration.

use crate::cluster::ClusterOptions;

/// Options of a demonstration.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// The deployment and its load.
    pub cluster: ClusterOptions,
    /// Requests to send.
    pub requests: usize,
    /// Whether nodes, engines and platform fail meanwhile.
    pub chaos: bool,
}
