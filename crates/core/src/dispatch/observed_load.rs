//! Load of an engine as last told.

use std::time::Duration;

use crate::timestamp::Timestamp;

use super::{EngineObservation, Priority, QueuedTokens};

/// After this long little is left of what an engine told of requests of other processes.
const LOAD_DECAY_TIME: Duration = Duration::from_secs(1);

/// Load of an engine as it last told, and how much of it was this process's own.
#[derive(Debug, Clone, Copy)]
pub(super) struct ObservedLoad {
    running: u32,
    waiting: u32,
    queued_tokens: Option<QueuedTokens>,
    own_in_flight: u32,
    /// The time it tells of.
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

    /// Share of its requests that are this process's own, if it had any.
    pub(super) fn own_share(&self) -> Option<f64> {
        let total = self.running + self.waiting;
        (total > 0).then(|| (f64::from(self.own_in_flight) / f64::from(total)).min(1.0))
    }

    /// Prompt tokens that were to be computed before a new request's own, if the engine told.
    pub(super) fn queued_tokens(&self, priority: Priority) -> Option<f64> {
        let queued = self.queued_tokens?;
        let tokens = match priority {
            Priority::Interactive => queued.interactive,
            Priority::Batch => queued.interactive.saturating_add(queued.batch),
        };
        Some(f64::from(tokens))
    }

    /// Requests that wait now (estimate).
    pub(super) fn all_waiting(&self, now: Timestamp) -> f64 {
        f64::from(self.waiting) * self.decay_factor(now)
    }

    /// Requests of other processes that wait now (estimate).
    pub(super) fn other_routers_waiting(&self, now: Timestamp) -> f64 {
        f64::from(self.waiting) * self.other_routers_share() * self.decay_factor(now)
    }

    /// Requests of other processes that run now (estimate).
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
