//! What an engine says of itself.

use crate::identity::{Incarnation, WeightsVersion};

/// What an engine's load report says that matters for orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// Its process.
    pub incarnation: Incarnation,
    /// The weights it serves.
    pub weights_version: WeightsVersion,
    /// Whether it is draining.
    pub draining: bool,
}
