//! What happens to an engine.

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{AttemptId, Incarnation, WeightsVersion};

use super::EngineRequest;

/// What happens to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineEvent {
    /// A request arrives.
    Submit(Box<EngineRequest>),
    /// An attempt is given up by its caller.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The process dies and comes back empty under a new incarnation.
    Restart {
        /// The new incarnation.
        incarnation: Incarnation,
    },
    /// New work is refused from now on, or accepted again.
    SetDraining {
        /// Whether new work is refused.
        draining: bool,
    },
    /// Weights of another version are being fetched; new work is refused until they serve.
    LoadWeights {
        /// The version.
        weights_version: WeightsVersion,
        /// When the weight store has delivered them.
        ready_at: Timestamp,
    },
    /// Time passed.
    Wake,
}
