//! A request that waits in an engine.

use ryerouter_core::Timestamp;

use super::EngineRequest;
use super::promotion::Promotion;

/// A request that waits in an engine.
#[derive(Debug, Clone)]
pub(super) struct WaitingRequest {
    /// The request.
    pub request: EngineRequest,
    /// When it arrived.
    pub arrived_at: Timestamp,
}

impl WaitingRequest {
    /// Whether it goes before ordinary batch work.
    pub fn is_urgent(&self, promotion: Promotion) -> bool {
        promotion.is_urgent(self.request.priority, self.arrived_at)
    }
}
