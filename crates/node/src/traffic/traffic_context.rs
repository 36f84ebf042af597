//! What all traffic threads share.

use std::sync::Arc;

use arc_swap::ArcSwap;
use slog::Logger;

use crate::caller::BodyBudget;
use crate::metrics::TrafficMetrics;

use super::{
    ActivityGate, ClaimGate, DispatchHandle, LiveTraffic, ObservationSink, RoutingView, TraceRing,
    TrafficSettings,
};

/// What all traffic threads of one process share.
pub(crate) struct TrafficContext {
    pub(crate) settings: TrafficSettings,
    pub(crate) logger: Logger,
    pub(crate) dispatch: DispatchHandle,
    pub(crate) view: ArcSwap<RoutingView>,
    pub(crate) gate: Arc<ActivityGate>,
    pub(crate) claims: Arc<dyn ClaimGate>,
    pub(crate) observations: ObservationSink,
    pub(crate) bodies: Arc<BodyBudget>,
    pub(crate) metrics: TrafficMetrics,
    pub(crate) traces: TraceRing,
    pub(crate) live: LiveTraffic,
}

impl TrafficContext {
    /// Whether callers should send work here: configuration has arrived and no stop has begun.
    pub(crate) fn is_ready(&self) -> bool {
        let configured = self.view.load().is_configured();
        configured && !self.gate.is_stopping()
    }
}
