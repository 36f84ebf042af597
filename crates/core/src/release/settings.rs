//! How releases are bounded.

use std::time::Duration;

/// Part of the time within which nothing may reach a failing version that a grant lasts: the rest is
/// for the verdict, and for the news of it to arrive.
const GRANT_LIFETIME_SHARE: f64 = 0.4;

/// Part of the share that nodes use. The rest covers what they can't count: requests that they forget
/// with a restart, and engines that count a repeated request once.
const USED_SHARE: f64 = 0.85;
/// Part of the slack that nodes use: one that is killed and started again uses its part of it anew.
const USED_SLACK: f64 = 0.4;

/// How releases are bounded, as the operator sets it.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Share of a pool's requests that a version which turns out bad may have got in all.
    pub exposure_share: f64,
    /// Requests that it may have got on top.
    pub exposure_slack: f64,
    /// A version whose answers are bad gets nothing more after so long.
    pub rollback_within: Duration,
}

impl Settings {
    /// Share of a pool's requests that nodes let a version under trial have.
    pub(super) fn used_share(&self) -> f64 {
        self.exposure_share * USED_SHARE
    }

    /// Requests on top that all nodes together let it have.
    pub(super) fn used_slack(&self) -> f64 {
        self.exposure_slack * USED_SLACK
    }

    /// A node that hears nothing of the director for so long sends nothing to the target version.
    pub fn grant_lifetime(&self) -> Duration {
        self.rollback_within.mul_f64(GRANT_LIFETIME_SHARE)
    }
}
