//! What the dispatcher knows of one pool.

use std::time::Duration;

use crate::admission::{RequestQueue, ServiceRate};
use crate::placement::{FoundShare, PoolIndex, PrefillSpeed};
use crate::timestamp::Timestamp;

use super::DispatchParameters;
use super::smoothed::Smoothed;

/// Weight of a new sample in the averages of a pool.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Tokens that a request misses in the cache, until measured.
const INITIAL_MEAN_UNCACHED_TOKENS: f64 = 1_000.0;
/// Seconds that a request stays in an engine, until measured.
const INITIAL_RESIDENCE_SECONDS: f64 = 2.0;
/// Share of an unknown prefix expected in the first engine in order, until measured.
const INITIAL_HIT_SHARE: f64 = 0.9;
/// Smallest own share of an engine's load that is believed.
const MIN_OWN_SHARE: f64 = 0.001;

/// What the dispatcher knows of one pool: its back ends, its queue and its averages.
#[derive(Debug)]
pub(super) struct PoolState {
    pub(super) index: PoolIndex,
    pub(super) queue: RequestQueue,
    pub(super) service_rate: ServiceRate,
    pub(super) prefill_speed: PrefillSpeed,
    /// Prompt tokens that a request had to compute.
    pub(super) mean_uncached_tokens: Smoothed,
    /// Share of a prefix that other processes have sent to the first engine in order.
    pub(super) cache_hit_estimate: FoundShare,
    residence_seconds: Smoothed,
    own_share: Smoothed,
}

impl PoolState {
    pub(super) fn new(parameters: &DispatchParameters, now: Timestamp) -> Self {
        let speed = parameters.prefill_tokens_per_second;
        Self {
            index: PoolIndex::default(),
            queue: RequestQueue::new(parameters.queue),
            service_rate: ServiceRate::new(now),
            prefill_speed: PrefillSpeed::new(speed),
            mean_uncached_tokens: Smoothed::new(INITIAL_MEAN_UNCACHED_TOKENS, SAMPLE_WEIGHT),
            cache_hit_estimate: FoundShare::new(INITIAL_HIT_SHARE),
            residence_seconds: Smoothed::new(INITIAL_RESIDENCE_SECONDS, SAMPLE_WEIGHT),
            own_share: Smoothed::new(1.0, SAMPLE_WEIGHT),
        }
    }

    /// A request got through after so long in its engine.
    pub(super) fn count_completion(&mut self, residence: Duration, now: Timestamp) {
        self.service_rate.count(now);
        self.residence_seconds.add(residence.as_secs_f64());
    }

    /// An engine told which share of its load is this process's own.
    pub(super) fn observe_share(&mut self, share: f64) {
        self.own_share.add(share);
    }

    /// Requests at once over all processes, for a rate that this process sees.
    pub(super) fn concurrency(&self, own_requests_per_second: f64) -> f64 {
        let own = own_requests_per_second * self.residence_seconds.value();
        own / self.own_share.value().max(MIN_OWN_SHARE)
    }

    /// How long computing prompt tokens takes.
    pub(super) fn prefill_time(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens.max(0.0) / self.prefill_speed.tokens_per_second())
    }

    /// Prompt tokens that could be computed in a time.
    pub(super) fn tokens_in(&self, time: Duration) -> f64 {
        time.as_secs_f64() * self.prefill_speed.tokens_per_second()
    }
}
