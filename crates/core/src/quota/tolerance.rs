//! Permitted deviation from limits.

use std::time::Duration;

/// How closely limits are enforced, as configured by the operator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// In any period of this length a tenant may use its rate times the period, plus its burst.
    pub window: Duration,
    /// Share of that amount by which it may be exceeded, because nodes take time to receive each
    /// other's reports.
    pub overage: f64,
    /// Additional amount by which it may be exceeded.
    pub slack: f64,
}

impl Default for Tolerance {
    /// A window in which reports reach every node many times, and no deviation.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            overage: 0.0,
            slack: 0.0,
        }
    }
}
