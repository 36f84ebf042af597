//! A request of a simulated cluster.

/// A request that has not ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenRequest {
    /// The router process.
    pub node: usize,
    /// Number of the request in the workload.
    pub request: usize,
    /// Attempts that have not ended.
    pub attempts_under_way: u32,
    /// Whether its caller has the first token.
    pub has_first_token: bool,
}
