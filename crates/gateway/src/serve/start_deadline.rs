//! Until when an attempt may start on the weights that it was placed for.

use std::time::Duration;

use ryerouter_core::identity::BackEndName;
use tokio::time::{Instant, sleep_until};

use super::accepted_request::AcceptedRequest;
use crate::catalogue::RequestKind;
use crate::gateway::Gateway;
use crate::placement::Placement;

/// Time between checks before the deadline. The deadline appears when newer weights are published, and may still move.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Until when an attempt may start on the weights that it was placed for.
///
/// An engine may hold a request in its queue until the deadline for its weights has passed. As long as no part of the
/// answer has arrived, the request may still start. That holds for streams only: of another answer no
/// part arrives before its end, so a request that has started can't be told from one that waits.
#[derive(Debug)]
pub(super) struct StartDeadline {
    engine: BackEndName,
    model: String,
    weights: u64,
}

impl StartDeadline {
    /// The deadline of an attempt; `None` if its answer is no stream, its request has no prompt, or its
    /// pool no models.
    pub(super) fn new(request: &AcceptedRequest, placement: &Placement) -> Option<Self> {
        if request.route.kind != RequestKind::Streaming {
            return None;
        }
        Some(Self {
            engine: placement.engine.clone(),
            model: request.caller.prompt.as_ref()?.model.clone(),
            weights: placement.weights?,
        })
    }

    /// Waits until the attempt may no longer start, and returns the outdated weights.
    pub(super) async fn passed(&self, gateway: &Gateway) -> u64 {
        loop {
            let weights = self.engine_weights(gateway);
            let now = gateway.clock().now();
            if !gateway.state().deadlines.allows(&self.model, weights, now) {
                return weights;
            }
            sleep_until(self.next_check(gateway, weights)).await;
        }
    }

    /// The weights on which the engine would start the request now. An engine that has loaded newer ones in the
    /// meantime starts nothing on the former ones.
    fn engine_weights(&self, gateway: &Gateway) -> u64 {
        let state = gateway.state();
        let engine = state.engines.get(&self.engine);
        let known = engine.and_then(|engine| engine.serving_weights_of(&self.model));
        known.map_or(self.weights, |known| known.max(self.weights))
    }

    fn next_check(&self, gateway: &Gateway, weights: u64) -> Instant {
        let clock = gateway.clock();
        let regular = clock.now().after(CHECK_INTERVAL);
        let deadline = gateway.state().deadlines.until(&self.model, weights);
        clock.instant(deadline.map_or(regular, |deadline| deadline.min(regular)))
    }
}
