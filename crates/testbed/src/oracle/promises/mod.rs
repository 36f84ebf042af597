//! One checker a promise.

mod at_most_once_check;
mod cache_isolation_check;
mod configuration_check;
mod drain_check;
mod fencing_check;
mod graceful_stop_check;
mod limit_check;
mod promise_check;
mod readiness_check;
mod refusal_truth_check;
mod stream_check;

pub use at_most_once_check::AtMostOnceCheck;
pub use cache_isolation_check::CacheIsolationCheck;
pub use configuration_check::ConfigurationCheck;
pub use drain_check::DrainCheck;
pub use fencing_check::FencingCheck;
pub use graceful_stop_check::GracefulStopCheck;
pub use limit_check::LimitCheck;
pub use promise_check::PromiseCheck;
pub use readiness_check::ReadinessCheck;
pub use refusal_truth_check::RefusalTruthCheck;
pub use stream_check::StreamCheck;
