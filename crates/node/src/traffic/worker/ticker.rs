//! Gives the dispatcher time.

use std::sync::Arc;
use std::time::Duration;

use ryerouter_core::dispatch::DispatchEvent;
use tokio::time::MissedTickBehavior;

use crate::traffic::TrafficContext;

/// Time between ticks of the dispatcher.
const TICK: Duration = Duration::from_millis(10);

/// Ticks the dispatcher while requests are in progress.
pub(in crate::traffic) struct Ticker {
    context: Arc<TrafficContext>,
}

impl Ticker {
    pub(in crate::traffic) fn new(context: Arc<TrafficContext>) -> Self {
        Self { context }
    }

    pub(in crate::traffic) async fn run(self) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if self.context.gate.active() > 0 {
                self.context.dispatch.handle(DispatchEvent::Tick);
            }
        }
    }
}
