//! A fault with its times.

use std::time::Duration;

use super::Fault;

/// A fault and when it begins and ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimedFault {
    /// When it begins, from now on.
    pub begins: Duration,
    /// How long it lasts; faults that do not last ignore it.
    pub lasts: Duration,
    /// The fault.
    pub fault: Fault,
}
