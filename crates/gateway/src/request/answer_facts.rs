//! Information from the head of an engine's answer.

use std::time::Duration;

use ryerouter_core::backpressure::Signal;

use super::InvalidField;

/// Information from the head of an engine's answer, besides the status.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerFacts {
    /// Id of the request that is answered.
    pub request_id: Option<String>,
    /// Whether the engine guarantees that the request has not run and will not run.
    pub is_not_executed: bool,
    /// Whether the answer carries the stamp that engines set on every answer.
    pub has_server_stamp: bool,
    /// Version of the weights on which the request runs.
    pub weights: Option<u64>,
    /// How long the engine keeps the connection open while it is idle.
    pub idle_timeout: Option<Duration>,
    /// Load and limits that the engine signals.
    pub signal: Signal,
    /// Fields of the signal that could not be parsed and were ignored.
    pub invalid_fields: Vec<InvalidField>,
}
