//! What an engine would truthfully say of itself.

use ryerouter_core::dispatch::EngineObservation;
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
            draining: self.draining,
            cached_tokens: None,
            prompt_tokens: None,
        }
    }
}
