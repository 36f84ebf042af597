//! News of what an engine has said of itself.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::backpressure::Report;
use ryerouter_core::identity::{BackEndName, Incarnation};
use serde::{Deserialize, Serialize};

use super::readable::readable_or_default;

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
    /// Refusals a second that it withstands; none when it doesn't say so any more.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    #[serde(deserialize_with = "readable_or_default")]
    pub max_refusals: Option<u32>,
    /// How long ago that was, in milliseconds; none when the sender knows nothing of it.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    #[serde(deserialize_with = "readable_or_default")]
    pub max_refusals_age_ms: Option<u64>,
    /// How long ago it began to say so, in milliseconds.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    #[serde(deserialize_with = "readable_or_default")]
    pub fragile_for_ms: Option<u64>,
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
            max_refusals: report.max_refusals,
            max_refusals_age_ms: report
                .max_refusals_at
                .map(|at| now.since(at).as_millis() as u64),
            fragile_for_ms: report
                .fragile_since
                .map(|at| now.since(at).as_millis() as u64),
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
            max_refusals: self.max_refusals,
            max_refusals_at: self.max_refusals_age_ms.map(at),
            fragile_since: self.fragile_for_ms.map(at),
        }
    }
}
