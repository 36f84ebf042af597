//! Bounds of releases.

use std::time::Duration;

/// Lifetime of a grant as a share of [`Settings::rollback_within`]. The rest of that time is for
/// reaching a verdict and for sending it to the nodes.
const GRANT_LIFETIME_SHARE: f64 = 0.4;

/// Share of `exposure_share` that nodes use. The rest covers errors of their counts: a restarted node
/// has lost its counts, and engines count a retried request only once.
const USED_SHARE: f64 = 0.85;
/// Share of `exposure_slack` that nodes use. The rest is a margin, because a node that is killed
/// and restarted uses its part of the slack again.
const USED_SLACK: f64 = 0.4;

/// Bounds of releases, as set by the operator.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Maximum share of a pool's requests that a bad version may have got in total.
    pub exposure_share: f64,
    /// Number of requests that a bad version may have got in addition.
    pub exposure_slack: f64,
    /// Time within which a version with bad answers must get no more requests.
    pub rollback_within: Duration,
}

impl Settings {
    /// Share of a pool's requests that nodes send to a version under trial.
    pub(super) fn used_share(&self) -> f64 {
        self.exposure_share * USED_SHARE
    }

    /// Number of requests that all nodes together send in addition.
    pub(super) fn used_slack(&self) -> f64 {
        self.exposure_slack * USED_SLACK
    }

    /// Lifetime of a grant. A node that has received no grant for this time sends no requests to
    /// the target version.
    pub fn grant_lifetime(&self) -> Duration {
        self.rollback_within.mul_f64(GRANT_LIFETIME_SHARE)
    }
}
