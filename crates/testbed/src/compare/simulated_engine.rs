//! An engine of a simulated cluster.

use ryerouter_core::Timestamp;

use crate::engine_model::EngineModel;

/// An engine of a simulated cluster.
#[derive(Debug)]
pub(super) struct SimulatedEngine {
    /// What it does.
    pub model: EngineModel,
    /// Whether it refuses connections.
    pub down: bool,
    /// The wake-up that is scheduled; others are out of date.
    pub wake_at: Option<Timestamp>,
}
