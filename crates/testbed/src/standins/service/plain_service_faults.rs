//! How a plain service misbehaves.

use std::time::Duration;

/// How a plain service misbehaves; the default is not at all.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlainServiceFaults {
    /// Time of one execution.
    pub delay: Duration,
    /// Of a thousand executions, how many are never answered.
    pub lost_answers_permille: u16,
    /// It refuses all work as `draining`.
    pub draining: bool,
    /// It answers with another attempt id than the one it was sent.
    pub wrong_attempt: bool,
}
