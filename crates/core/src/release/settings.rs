//! How releases are bounded.

use std::time::Duration;

/// Part of the time within which nothing may reach a failing version that a grant lasts: the rest is
/// for the verdict, and for the news of it to arrive.
const GRANT_SHARE: f64 = 0.4;

/// How releases are bounded, as the operator sets it.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Share of a pool's requests that a version which turns out bad may have got in all.
    pub exposed_share: f64,
    /// Requests that it may have got on top.
    pub exposed_slack: f64,
    /// A version whose answers are bad gets nothing more after so long.
    pub rollback_within: Duration,
}

impl Settings {
    /// A node that hears nothing of the director for so long sends nothing to the target version.
    pub fn grant_life(&self) -> Duration {
        self.rollback_within.mul_f64(GRANT_SHARE)
    }
}
