//! How much time the promises allow.

/// How much time the promises allow, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OracleLimits {
    /// From the start of leaving to the last new work, including work that is on its way.
    pub drain_us: u64,
    /// From acceptance to being in force at every reachable process.
    pub configuration_us: u64,
    /// From the start of a process to readiness.
    pub readiness_us: u64,
    /// Window over which a limit is checked.
    pub limit_window_us: u64,
    /// Time whose worth of units may be spent in a window besides the window's own.
    pub limit_burst_us: u64,
    /// Units that may be spent in a window besides, whatever the rate.
    pub limit_burst_units: u64,
}

impl Default for OracleLimits {
    fn default() -> Self {
        Self {
            drain_us: 3_000_000,
            configuration_us: 20_000_000,
            readiness_us: 1_000_000,
            limit_window_us: 20_000_000,
            limit_burst_us: 3_000_000,
            limit_burst_units: 5,
        }
    }
}
