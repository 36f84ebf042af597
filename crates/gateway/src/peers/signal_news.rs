//! News of what an engine has said of itself.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::backpressure::Report;
use ryerouter_core::identity::{BackEndName, Incarnation};
use serde::{Deserialize, Serialize};

/// What the sender has heard an engine say of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SignalUpdate {
    /// The engine.
    #[serde(rename = "e")]
    pub engine: BackEndName,
    /// Its life.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// Whether it leaves.
    #[serde(rename = "d", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_leaving: bool,
    /// Requests a second that it takes from all nodes together; none when it names no limit any more.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<f64>,
    /// How long ago that was, in milliseconds; none when the sender knows nothing of a limit.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub limit_age_ms: Option<u64>,
}

impl SignalUpdate {
    /// News that are told now.
    pub fn new(
        engine: &BackEndName,
        incarnation: Option<Incarnation>,
        report: &Report,
        now: Timestamp,
    ) -> Self {
        Self {
            engine: engine.clone(),
            incarnation,
            is_leaving: report.is_leaving,
            limit: report.limit,
            limit_age_ms: report.limit_at.map(|at| now.since(at).as_millis() as u64),
        }
    }

    /// What was told now.
    pub fn report(&self, now: Timestamp) -> Report {
        let at = |age_ms| now.before(Duration::from_millis(age_ms));
        let is_rate = |limit: &f64| limit.is_finite() && *limit >= 0.0;
        Report {
            is_leaving: self.is_leaving,
            limit: self.limit.filter(is_rate),
            limit_at: self.limit_age_ms.map(at),
        }
    }
}
