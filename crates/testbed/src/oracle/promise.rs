//! Names of the promises.

use derive_more::Display;

/// What always holds, in standard terms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Promise {
    /// No request relies on cache entries of a dead engine, another tenant or older weights.
    #[display("cache_isolation")]
    CacheIsolation,
    /// Every stream arrives complete and in order, or the caller is told that it broke.
    #[display("stream_integrity")]
    StreamIntegrity,
    /// A router that restarts serves at once.
    #[display("restart_readiness")]
    RestartReadiness,
    /// Each caller receives the answer to its own request.
    #[display("response_correlation")]
    ResponseCorrelation,
    /// A refusal that says "not run" is true.
    #[display("refusal_truth")]
    RefusalTruth,
    /// A request marked as not to be repeated runs at most once.
    #[display("at_most_once")]
    AtMostOnce,
    /// A back end that is leaving gets no new work after a few seconds.
    #[display("drain")]
    Drain,
    /// A planned stop cuts no request.
    #[display("graceful_stop")]
    GracefulStop,
    /// Accepted configuration is in force everywhere within seconds and never reverts.
    #[display("configuration_monotonicity")]
    ConfigurationMonotonicity,
    /// No tenant exceeds its limits.
    #[display("tenant_limits")]
    TenantLimits,
    /// A back end obeys no order older than one it has obeyed.
    #[display("fencing")]
    Fencing,
}
