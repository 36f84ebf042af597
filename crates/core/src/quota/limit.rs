//! Limit of a tenant.

use super::Tolerance;

/// Share of the burst that may be used at once. The rest is spread over the window, where it is
/// available to steady traffic.
const IMMEDIATE_BURST_SHARE: f64 = 0.5;
/// Share of the tolerance that is used in normal operation, so that few requests within the limit
/// are refused. The rest covers what nodes admit before they receive each other's reports.
const TOLERANCE_USED_SHARE: f64 = 0.4;

/// What a tenant may use over all nodes together, in requests or tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Amount per second.
    pub per_second: f64,
    /// Additional amount within a window of [`Tolerance`].
    pub burst: f64,
}

impl Limit {
    /// The rate and burst that nodes enforce so that a tenant can use its whole limit. In any window
    /// they exceed the limit by at most a part of the tolerance.
    pub fn control_target(&self, tolerance: &Tolerance) -> Self {
        let window_s = tolerance.window.as_secs_f64().max(1.0);
        let in_window = self.per_second * window_s + self.burst;
        let spread = self.burst * (1.0 - IMMEDIATE_BURST_SHARE);
        let tolerated_overage = in_window * tolerance.overage + tolerance.slack;
        Self {
            per_second: self.per_second + spread / window_s,
            burst: self.burst * IMMEDIATE_BURST_SHARE + tolerated_overage * TOLERANCE_USED_SHARE,
        }
    }
}
