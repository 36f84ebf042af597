//! State of one back end in the dispatcher.

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

/// Assumed age of a load report on arrival; an observation from a more recent answer takes
/// precedence.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// An engine that reported draining gets no new work for this long, unless a later report revokes
/// it.
const DRAINING_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum interval between requests sent to an engine that last reported another weights version,
/// to find out whether it has the required one now.
const WEIGHTS_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// State of one back end: last observations, own requests in flight, health and cache retention.
#[derive(Debug)]
pub(super) struct EngineRecord {
    pub(super) address: SocketAddr,
    incarnation: Option<Incarnation>,
    weights_version: Option<WeightsVersion>,
    epoch: CacheEpoch,
    load: Option<ObservedLoad>,
    draining_at: Option<Timestamp>,
    weights_probed_at: Option<Timestamp>,
    /// Number of this process's requests in the engine.
    pub(super) in_flight: u32,
    /// Prompt tokens of this process's requests that have no first token yet: interactive, batch.
    pending: [u64; 2],
    sent: SentTokens,
    /// Limit of `in_flight`.
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

    /// Latest known incarnation.
    pub(super) fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Current cache generation.
    pub(super) fn epoch(&self) -> CacheEpoch {
        self.epoch
    }

    /// Applies the observation of an answer.
    pub(super) fn observe_answer(&mut self, observation: &EngineObservation, now: Timestamp) {
        self.observe(observation, now, now);
    }

    /// Applies a load report, unless an answer gave a more recent observation of the same
    /// incarnation.
    pub(super) fn observe_report(&mut self, observation: &EngineObservation, now: Timestamp) {
        let observed_at = now.before(REPORT_LAG);
        let is_newer = |load: ObservedLoad| load.observed_at > observed_at;
        if self.load.is_some_and(is_newer) && self.incarnation >= Some(observation.incarnation) {
            return;
        }
        self.observe(observation, observed_at, now);
    }

    /// Share of the engine's requests that this process sent, as last observed.
    pub(super) fn own_share(&self) -> Option<f64> {
        self.load.and_then(|load| load.own_share())
    }

    /// Whether the engine may get new work for these weights, as last observed.
    pub(super) fn accepts(&self, weights: Option<WeightsVersion>, now: Timestamp) -> bool {
        !self.is_draining(now) && self.may_serve(weights, now)
    }

    /// Whether the engine reported within [`DRAINING_TIMEOUT`] that it is draining.
    pub(super) fn is_draining(&self, now: Timestamp) -> bool {
        self.draining_at
            .is_some_and(|at| now.since(at) < DRAINING_TIMEOUT)
    }

    /// Records that a request is being sent although the engine last reported other weights.
    pub(super) fn record_weights_probe(&mut self, weights: Option<WeightsVersion>, now: Timestamp) {
        if self.has_other_weights(weights) {
            self.weights_probed_at = Some(now);
        }
    }

    /// Estimated prompt tokens that the engine computes before those of a new request, at `speed`
    /// tokens per second and `mean_uncached_tokens` per request.
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

    /// Queued tokens as last reported, plus those sent since, minus those computed since; `None`
    /// without a recent report.
    fn reported_tokens_ahead(&self, priority: Priority, speed: f64, now: Timestamp) -> Option<f64> {
        let load = self.load?;
        let reported = load.queued_tokens(priority)?;
        let sent = self.sent.since(load.observed_at, priority, now)?;
        let computed = speed * now.since(load.observed_at).as_secs_f64();
        Some((reported + sent - computed).max(0.0))
    }

    /// Requests waiting in the engine (estimate).
    pub(super) fn waiting(&self, now: Timestamp) -> f64 {
        self.load.map_or(0.0, |load| load.all_waiting(now))
    }

    /// Requests running in the engine (estimate).
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
        // Incarnations only increase, so an observation of an older one is obsolete.
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

    /// Whether the engine serves these weights as far as known, or is due for a request that finds
    /// out whether it does now.
    fn may_serve(&self, weights: Option<WeightsVersion>, now: Timestamp) -> bool {
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
