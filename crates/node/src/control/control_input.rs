//! Way of events into the control loop.

use ryerouter_core::control::ControlEvent;
use tokio::sync::mpsc;

/// Way of events from the tasks of the control thread into its loop.
#[derive(Debug, Clone)]
pub(crate) struct ControlInput {
    events: mpsc::Sender<ControlEvent>,
}

impl ControlInput {
    pub(crate) fn new(events: mpsc::Sender<ControlEvent>) -> Self {
        Self { events }
    }

    /// Delivers an event that must not be lost; waits while the queue is full.
    pub(crate) async fn deliver(&self, event: ControlEvent) {
        // The loop is gone only when the process stops.
        let _ = self.events.send(event).await;
    }

    /// Delivers an event that may be lost; returns whether it was taken.
    pub(crate) fn offer(&self, event: ControlEvent) -> bool {
        self.events.try_send(event).is_ok()
    }
}
