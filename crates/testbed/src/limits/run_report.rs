//! What a run showed.

use serde::Serialize;

/// What a run of one scheme under one load showed.
#[derive(Debug, Clone, Serialize)]
pub struct RunReport {
    /// The scheme.
    pub scheme: &'static str,
    /// The load.
    pub load: &'static str,
    /// Requests.
    pub requests: u64,
    /// Requests that were refused while less than the limit had been admitted in the last second,
    /// in hundredths of all requests.
    pub false_refusals_percent: f64,
    /// Most that was admitted of a tenant within ten seconds, in hundredths of the limit.
    pub most_in_ten_seconds_percent: f64,
    /// Messages a second and node.
    pub messages_per_second_per_node: f64,
}
