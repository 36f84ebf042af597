//! What the head of an answer says.

use std::time::Duration;

/// What the head of an engine's answer says, besides its status.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerFacts {
    /// The request that it answers.
    pub request_id: Option<String>,
    /// The request certainly has not run and will not.
    pub is_not_executed: bool,
    /// Whether it carries the mark that every true answer of an engine has.
    pub is_signed: bool,
    /// Weights that the request runs on.
    pub weights: Option<u64>,
    /// How long the engine keeps the connection idle.
    pub idle_timeout: Option<Duration>,
}
