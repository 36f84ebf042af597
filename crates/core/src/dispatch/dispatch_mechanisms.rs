//! Mechanisms of the dispatcher that can be switched off.

/// Mechanisms that can be switched off one by one, to measure what each is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatchMechanisms {
    /// Remembers which engines were given which prefixes.
    pub cache_directory: bool,
    /// Spreads a prefix over as many engines as its load needs, and keeps a thin one together.
    pub prefix_widths: bool,
    /// Expects the first engine in order to hold what other processes gave it.
    pub cache_prior: bool,
    /// Counts recomputation as a cost to others beyond the wait for the first token.
    pub recompute_price: bool,
    /// Bounds the requests of this process in each engine.
    pub engine_windows: bool,
    /// Exports KV cache to the pool's KV store and imports it from there.
    pub kv_store: bool,
    /// Leaves engines alone for a while after failures.
    pub ejection: bool,
}

impl Default for DispatchMechanisms {
    fn default() -> Self {
        Self {
            cache_directory: true,
            prefix_widths: true,
            cache_prior: true,
            recompute_price: true,
            engine_windows: true,
            kv_store: true,
            ejection: true,
        }
    }
}
