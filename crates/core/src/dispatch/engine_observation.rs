//! State of a back end as stated in its answers.

use super::QueuedTokens;
use crate::identity::{Incarnation, WeightsVersion};

/// State of a back end as stated in one of its answers or load reports. Answers are more recent
/// than load reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EngineObservation {
    /// Incarnation of the process that answered.
    pub incarnation: Incarnation,
    /// Weights version that the back end serves.
    pub weights_version: WeightsVersion,
    /// Requests running in the back end.
    pub running: u32,
    /// Requests waiting in the back end.
    pub waiting: u32,
    /// Prompt tokens still to be computed, if the back end states them.
    pub queued_tokens: Option<QueuedTokens>,
    /// Whether the back end is draining.
    pub draining: bool,
    /// Prompt tokens of this request found in the cache; known at the end of an answer.
    pub cached_tokens: Option<u32>,
    /// Prompt tokens of this request as counted by the back end; known at the end of an answer.
    pub prompt_tokens: Option<u32>,
}
