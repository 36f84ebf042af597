//! What the dispatcher knows of one back end.

use std::net::SocketAddr;
use std::time::Duration;

use crate::admission::EngineWindow;
use crate::identity::{Incarnation, WeightsVersion};
use crate::placement::{CacheEpoch, Retention};
use crate::retry::EngineHealth;
use crate::timestamp::Timestamp;

use super::observed_load::ObservedLoad;
use super::sent_tokens::SentTokens;
use super::{EngineObservation, Priority};

/// Load reports are taken to tell of a time so long ago; what answers told since counts more.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// For so long after an engine said it drains it gets no new work, unless it says otherwise.
const DRAINING_TIMEOUT: Duration = Duration::from_secs(5);
/// An engine with other weights is asked at most so often whether it has the right ones now.
const WEIGHTS_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// What the dispatcher knows of one back end.
#[derive(Debug)]
pub(super) struct EngineRecord {
    pub(super) address: SocketAddr,
    incarnation: Option<Incarnation>,
    weights_version: Option<WeightsVersion>,
    epoch: CacheEpoch,
    load: Option<ObservedLoad>,
    draining_at: Option<Timestamp>,
    weights_probed_at: Option<Timestamp>,
    pub(super) in_flight: u32,
    /// Prompt tokens of own requests without a first token yet: interactive, batch.
    pending: [u64; 2],
    sent: SentTokens,
    pub(super) window: EngineWindow,
    pub(super) health: EngineHealth,
    pub(super) retention: Retention,
}

impl EngineRecord {
    pub(super) fn new(address: SocketAddr, retention: Retention) -> Self {
        Self {
            address,
            incarnation: None,
            weights_version: None,
            epoch: CacheEpoch::default(),
            load: None,
            draining_at: None,
            weights_probed_at: None,
            in_flight: 0,
            pending: [0; 2],
            sent: SentTokens::default(),
            window: EngineWindow::default(),
            health: EngineHealth::default(),
            retention,
        }
    }

    /// The process last heard of.
    pub(super) fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// The current life of its cache.
    pub(super) fn epoch(&self) -> CacheEpoch {
        self.epoch
    }

    /// Takes what an answer told.
    pub(super) fn observe_answer(&mut self, observation: &EngineObservation, now: Timestamp) {
        self.observe(observation, now, now);
    }

    /// Takes what a lagging report told, unless an answer told more since.
    pub(super) fn observe_report(&mut self, observation: &EngineObservation, now: Timestamp) {
        let observed_at = now.before(REPORT_LAG);
        let is_newer = |load: ObservedLoad| load.observed_at > observed_at;
        if self.load.is_some_and(is_newer) && self.incarnation >= Some(observation.incarnation) {
            return;
        }
        self.observe(observation, observed_at, now);
    }

    /// Share of its requests that are this process's own, as last told.
    pub(super) fn own_share(&self) -> Option<f64> {
        self.load.and_then(|load| load.own_share())
    }

    /// Whether it may get new work for these weights, as far as it told.
    pub(super) fn accepts(&self, weights: Option<WeightsVersion>, now: Timestamp) -> bool {
        !self.is_draining(now) && self.serves(weights, now)
    }

    /// Whether it said that it drains.
    pub(super) fn is_draining(&self, now: Timestamp) -> bool {
        self.draining_at
            .is_some_and(|at| now.since(at) < DRAINING_TIMEOUT)
    }

    /// Notes that a request is sent although it last told of other weights.
    pub(super) fn record_weights_probe(&mut self, weights: Option<WeightsVersion>, now: Timestamp) {
        if self.has_other_weights(weights) {
            self.weights_probed_at = Some(now);
        }
    }

    /// Prompt tokens it has to compute before a new request's own (estimate), when it computes
    /// `speed` a second and requests miss `mean_uncached_tokens` on average.
    pub(super) fn tokens_ahead(
        &self,
        priority: Priority,
        speed: f64,
        mean_uncached_tokens: f64,
        now: Timestamp,
    ) -> f64 {
        if let Some(ahead) = self.reported_tokens_ahead(priority, speed, now) {
            return ahead;
        }
        let own = match priority {
            Priority::Interactive => self.pending[0],
            Priority::Batch => self.pending[0] + self.pending[1],
        };
        let other_routers = self
            .load
            .map_or(0.0, |load| load.other_routers_waiting(now));
        own as f64 + other_routers * mean_uncached_tokens
    }

    /// What the engine last told, less what it can have computed since, and what was sent since.
    fn reported_tokens_ahead(&self, priority: Priority, speed: f64, now: Timestamp) -> Option<f64> {
        let load = self.load?;
        let reported = load.queued_tokens(priority)?;
        let sent = self.sent.since(load.observed_at, priority, now)?;
        let computed = speed * now.since(load.observed_at).as_secs_f64();
        Some((reported + sent - computed).max(0.0))
    }

    /// Requests that wait in it, as last told.
    pub(super) fn waiting(&self, now: Timestamp) -> f64 {
        self.load.map_or(0.0, |load| load.all_waiting(now))
    }

    /// Requests it runs (estimate).
    pub(super) fn running(&self, now: Timestamp) -> f64 {
        let other_routers = self
            .load
            .map_or(0.0, |load| load.other_routers_running(now));
        f64::from(self.in_flight) + other_routers
    }

    pub(super) fn add_pending(&mut self, priority: Priority, tokens: u32, now: Timestamp) {
        self.sent.add(priority, tokens, now);
        self.pending[pending_index(priority)] += u64::from(tokens);
    }

    pub(super) fn remove_pending(&mut self, priority: Priority, tokens: u32) {
        let pending = &mut self.pending[pending_index(priority)];
        *pending = pending.saturating_sub(u64::from(tokens));
    }

    fn observe(&mut self, observation: &EngineObservation, observed_at: Timestamp, now: Timestamp) {
        // Incarnations only rise: what an older one said is void.
        if self.incarnation > Some(observation.incarnation) {
            return;
        }
        self.record_incarnation(observation.incarnation);
        self.record_weights(observation.weights_version);
        self.record_draining(observation.draining, observed_at, now);
        self.load = Some(ObservedLoad::new(observation, self.in_flight, observed_at));
    }

    fn record_incarnation(&mut self, incarnation: Incarnation) {
        if self.incarnation == Some(incarnation) {
            return;
        }
        if self.incarnation.is_some() {
            self.window = EngineWindow::default();
            self.health.restarted();
        }
        self.incarnation = Some(incarnation);
        self.epoch = self.epoch.next();
        self.draining_at = None;
        self.weights_version = None;
    }

    fn record_weights(&mut self, weights: WeightsVersion) {
        if self.weights_version == Some(weights) {
            return;
        }
        if self.weights_version.is_some() {
            self.epoch = self.epoch.next();
        }
        self.weights_version = Some(weights);
    }

    fn record_draining(&mut self, draining: bool, observed_at: Timestamp, now: Timestamp) {
        if draining {
            self.draining_at = Some(now);
        } else if self.draining_at.is_some_and(|since| since < observed_at) {
            self.draining_at = None;
        }
    }

    fn serves(&self, weights: Option<WeightsVersion>, now: Timestamp) -> bool {
        let probed_recently = |at: Timestamp| now.since(at) < WEIGHTS_PROBE_INTERVAL;
        !self.has_other_weights(weights) || !self.weights_probed_at.is_some_and(probed_recently)
    }

    fn has_other_weights(&self, weights: Option<WeightsVersion>) -> bool {
        match (weights, self.weights_version) {
            (Some(wanted), Some(served)) => wanted != served,
            _ => false,
        }
    }
}

fn pending_index(priority: Priority) -> usize {
    match priority {
        Priority::Interactive => 0,
        Priority::Batch => 1,
    }
}
