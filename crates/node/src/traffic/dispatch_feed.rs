//! Events that reach the dispatcher from outside the traffic threads.

use std::sync::Arc;

use ryerouter_core::dispatch::DispatchEvent;
use ryerouter_core::identity::{NodeName, StageName};
use ryerouter_core::limit::LimitGrant;
use ryerouter_core::migration::StageMeasurement;

use crate::control::GrantSink;

use super::TrafficContext;

/// Feeds the dispatcher events that come from the control thread.
pub struct DispatchFeed {
    context: Arc<TrafficContext>,
}

impl DispatchFeed {
    pub(super) fn new(context: Arc<TrafficContext>) -> Self {
        Self { context }
    }
}

impl GrantSink for DispatchFeed {
    fn granted(&self, from: NodeName, grant: LimitGrant) {
        let event = DispatchEvent::LimitGranted { from, grant };
        self.context.dispatch.handle(event);
    }

    fn take_measurement(&self, stage: &StageName) -> Option<StageMeasurement> {
        self.context.dispatch.take_measurement(stage)
    }
}
