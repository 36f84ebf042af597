//! Load reports of engines.

use serde::{Deserialize, Serialize};

/// How engines report their load to router processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReportSpec {
    /// Time between two reports of an engine.
    pub interval_millis: u64,
    /// Age of a report when it arrives.
    pub lag_millis: u64,
    /// Share of reports that never arrive, in thousandths.
    pub loss_permille: u32,
}
