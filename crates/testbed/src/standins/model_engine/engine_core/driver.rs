//! Wakes the engine model on the real clock.

use std::sync::{Arc, Weak};
use std::time::Duration;

use ryerouter_core::Timestamp;

use super::EngineCore;
use crate::engine_model::EngineEvent;

/// Longest sleep of the driver.
const LONGEST_SLEEP: Duration = Duration::from_secs(3_600);

/// Wakes the model whenever it asks for it, until the engine is dropped.
pub(super) async fn drive(core: Weak<EngineCore>) {
    loop {
        let Some(core) = core.upgrade() else {
            return;
        };
        let next = wake(&core);
        let sleep = next.map_or(LONGEST_SLEEP, |due| due.since(core.now()));
        let changed = core.changed.notified();
        let _ = tokio::time::timeout(sleep.min(LONGEST_SLEEP), changed).await;
    }
}

fn wake(core: &Arc<EngineCore>) -> Option<Timestamp> {
    let mut state = core.state.lock();
    let due = state.model.next_wake();
    if due.is_some_and(|due| due <= core.now()) {
        let mut outputs = Vec::new();
        state
            .model
            .handle(EngineEvent::Wake, core.now(), &mut outputs);
        core.settle(&mut state, outputs);
    }
    state.model.next_wake()
}
