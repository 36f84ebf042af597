//! Logs and metrics.

mod log_sampler;
mod logger;
mod metrics;
mod metrics_server;

pub use log_sampler::LogSampler;
pub use logger::new_logger;
pub use metrics::Metrics;
pub use metrics_server::serve_metrics;
