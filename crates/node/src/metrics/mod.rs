//! Metrics of the traffic side in Prometheus format.

mod metric_description;
mod metric_kind;
mod metric_list;
mod request_end;
mod traffic_metrics;

pub use metric_description::MetricDescription;
pub use metric_kind::MetricKind;
pub use metric_list::TRAFFIC_METRICS;
pub(crate) use request_end::RequestEnd;
pub use traffic_metrics::TrafficMetrics;
