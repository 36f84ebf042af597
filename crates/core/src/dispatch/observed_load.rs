//! Last observed load of an engine.

use std::time::Duration;

use crate::timestamp::Timestamp;

use super::{EngineObservation, Priority, QueuedTokens};

/// Time constant of the exponential decay of an observation: older ones say little about current
/// load.
const LOAD_DECAY_TIME: Duration = Duration::from_secs(1);

/// Last observed load of an engine, with the part of it that this process had sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct ObservedLoad {
    running: u32,
    waiting: u32,
    queued_tokens: Option<QueuedTokens>,
    own_in_flight: u32,
    /// Time to which the observation applies.
    pub(super) observed_at: Timestamp,
}

impl ObservedLoad {
    pub(super) fn new(observation: &EngineObservation, own_in_flight: u32, at: Timestamp) -> Self {
        Self {
            running: observation.running,
            waiting: observation.waiting,
            queued_tokens: observation.queued_tokens,
            own_in_flight,
            observed_at: at,
        }
    }

    /// Share of the engine's requests that this process sent; `None` if the engine had none.
    pub(super) fn own_share(&self) -> Option<f64> {
        let total = self.running + self.waiting;
        (total > 0).then(|| (f64::from(self.own_in_flight) / f64::from(total)).min(1.0))
    }

    /// Queued prompt tokens that the engine computes before those of a new request, if it reported
    /// them.
    pub(super) fn queued_tokens(&self, priority: Priority) -> Option<f64> {
        let queued = self.queued_tokens?;
        let tokens = match priority {
            Priority::Interactive => queued.interactive,
            Priority::Batch => queued.interactive.saturating_add(queued.batch),
        };
        Some(f64::from(tokens))
    }

    /// Requests waiting in the engine now (estimate).
    pub(super) fn all_waiting(&self, now: Timestamp) -> f64 {
        f64::from(self.waiting) * self.decay_factor(now)
    }

    /// Requests of other router processes waiting now (estimate).
    pub(super) fn other_routers_waiting(&self, now: Timestamp) -> f64 {
        f64::from(self.waiting) * self.other_routers_share() * self.decay_factor(now)
    }

    /// Requests of other router processes running now (estimate).
    pub(super) fn other_routers_running(&self, now: Timestamp) -> f64 {
        f64::from(self.running) * self.other_routers_share() * self.decay_factor(now)
    }

    fn other_routers_share(&self) -> f64 {
        1.0 - self.own_share().unwrap_or(1.0)
    }

    fn decay_factor(&self, now: Timestamp) -> f64 {
        let age = now.since(self.observed_at).as_secs_f64();
        (-age / LOAD_DECAY_TIME.as_secs_f64()).exp()
    }
}
