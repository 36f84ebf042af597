//! What the head of an answer says.

use std::time::Duration;

use ryerouter_core::backpressure::Signal;

use super::InvalidField;

/// What the head of an engine's answer says, besides its status.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerFacts {
    /// The request that it answers.
    pub request_id: Option<String>,
    /// The request certainly has not run and will not.
    pub is_not_executed: bool,
    /// Whether it carries the mark that every true answer of an engine has.
    pub has_server_stamp: bool,
    /// Weights that the request runs on.
    pub weights: Option<u64>,
    /// How long the engine keeps the connection idle.
    pub idle_timeout: Option<Duration>,
    /// What the engine says of itself.
    pub signal: Signal,
    /// Fields of that which make no sense.
    pub invalid_fields: Vec<InvalidField>,
}
