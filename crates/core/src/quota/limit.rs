//! What a tenant may use.

use super::Tolerance;

/// Part of the burst that may be used at once; the rest is spread over the window, where requests
/// that come steadily find it.
const IMMEDIATE_BURST_SHARE: f64 = 0.25;
/// Part of the tolerance that is used in calm times, so that little is refused that fits into the
/// limit. The rest covers what nodes admit before they hear of each other.
const TOLERANCE_USED_SHARE: f64 = 0.3;

/// What a tenant may use over all nodes together, in its unit: requests or tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Amount a second.
    pub per_second: f64,
    /// Amount on top, within a window of [`Tolerance`].
    pub burst: f64,
}

impl Limit {
    /// The rate and the amount at once that make the most of the limit without going beyond it, and
    /// beyond it by a part of the tolerance, in any window.
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
