//! An attempt of a simulated cluster.

/// An attempt under way.
#[derive(Debug, Clone)]
pub(super) struct AttemptState {
    /// The router process that made it.
    pub node: usize,
    /// Number of the request in the workload.
    pub request: usize,
    /// The back end.
    pub back_end: usize,
    /// Chunks that left the engine.
    pub chunks: u64,
}
