//! What an engine would truthfully say of itself.

use ryerouter_core::dispatch::{EngineObservation, QueuedTokens};
use ryerouter_core::identity::{Incarnation, WeightsVersion};

/// What an engine would truthfully say of itself right now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineStatus {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The weights it serves.
    pub weights_version: WeightsVersion,
    /// Sequences it runs.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens that are neither computed nor cached.
    pub queued_tokens: QueuedTokens,
    /// Whether it refuses new work.
    pub draining: bool,
}

impl EngineStatus {
    /// The status as an answer's head or a load report carries it.
    pub fn observation(&self) -> EngineObservation {
        EngineObservation {
            incarnation: self.incarnation,
            weights_version: self.weights_version,
            running: self.running,
            waiting: self.waiting,
            queued_tokens: Some(self.queued_tokens),
            draining: self.draining,
            cached_tokens: None,
            prompt_tokens: None,
        }
    }
}
