//! Mechanisms of the dispatcher that can be disabled.

/// Mechanisms that can be disabled individually, to measure the benefit of each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatchMechanisms {
    /// Tracks which engines were sent which prefixes.
    pub cache_directory: bool,
    /// Limits each prefix to as many engines as its request rate needs.
    pub prefix_widths: bool,
    /// Expects the first engine in candidate order to cache prefixes that other processes sent
    /// there.
    pub cache_prior: bool,
    /// Adds a penalty for recomputation to the time to first token, because it delays other
    /// requests.
    pub recompute_penalty: bool,
    /// Limits the number of this process's requests in each engine.
    pub engine_windows: bool,
    /// Exports KV cache to the pool's KV store and imports it from there.
    pub kv_store: bool,
    /// Sends no requests to an engine for a while after failures.
    pub ejection: bool,
}

impl Default for DispatchMechanisms {
    fn default() -> Self {
        Self {
            cache_directory: true,
            prefix_widths: true,
            cache_prior: true,
            recompute_penalty: true,
            engine_windows: true,
            kv_store: true,
            ejection: true,
        }
    }
}
