//! State of one pool in the dispatcher.

use std::time::Duration;

use crate::admission::{RequestQueue, ServiceRate};
use crate::placement::{CacheHitEstimate, PoolIndex, PrefillSpeed};
use crate::timestamp::Timestamp;

use super::DispatchParameters;
use super::moving_average::MovingAverage;

/// Weight of a new sample in the moving averages of a pool.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Uncached prompt tokens per request, until measured.
const INITIAL_MEAN_UNCACHED_TOKENS: f64 = 1_000.0;
/// Seconds that a request spends in an engine, until measured.
const INITIAL_RESIDENCE_SECONDS: f64 = 2.0;
/// Share of an [`UncertainRange`](super::attempt_record::UncertainRange) expected in the cache of
/// the first engine in candidate order, until measured.
const INITIAL_HIT_SHARE: f64 = 0.9;
/// A pool in which nothing has started for this time starts a request although its deadline seems out
/// of reach. The estimates come from earlier requests, and without new ones they would never change.
const ESTIMATES_VALID_FOR: Duration = Duration::from_secs(5);
/// Lower bound of this process's share of an engine's load, by which [`PoolState::concurrency`]
/// divides.
const MIN_OWN_SHARE: f64 = 0.001;

/// State of one pool: its back ends, queue and moving averages.
#[derive(Debug)]
pub(super) struct PoolState {
    pub(super) index: PoolIndex,
    pub(super) queue: RequestQueue,
    pub(super) service_rate: ServiceRate,
    pub(super) prefill_speed: PrefillSpeed,
    /// Uncached prompt tokens per request.
    pub(super) mean_uncached_tokens: MovingAverage,
    /// Share of uncertain prefix ranges found in the cache of the first engine in candidate order.
    pub(super) cache_hit_estimate: CacheHitEstimate,
    residence_seconds: MovingAverage,
    own_share: MovingAverage,
    last_start: Timestamp,
}

impl PoolState {
    pub(super) fn new(parameters: &DispatchParameters, now: Timestamp) -> Self {
        let speed = parameters.prefill_tokens_per_second;
        Self {
            index: PoolIndex::default(),
            queue: RequestQueue::new(parameters.queue),
            service_rate: ServiceRate::new(now),
            prefill_speed: PrefillSpeed::new(speed),
            mean_uncached_tokens: MovingAverage::new(INITIAL_MEAN_UNCACHED_TOKENS, SAMPLE_WEIGHT),
            cache_hit_estimate: CacheHitEstimate::new(INITIAL_HIT_SHARE),
            residence_seconds: MovingAverage::new(INITIAL_RESIDENCE_SECONDS, SAMPLE_WEIGHT),
            own_share: MovingAverage::new(1.0, SAMPLE_WEIGHT),
            last_start: now,
        }
    }

    /// Records that an attempt starts.
    pub(super) fn note_start(&mut self, now: Timestamp) {
        self.last_start = now;
    }

    /// Whether requests have started recently enough to refuse others by the estimates.
    pub(super) fn has_valid_estimates(&self, now: Timestamp) -> bool {
        now.since(self.last_start) < ESTIMATES_VALID_FOR
    }

    /// Counts a completed request that spent `residence` in its engine.
    pub(super) fn count_completion(&mut self, residence: Duration, now: Timestamp) {
        self.service_rate.count(now);
        self.residence_seconds.add(residence.as_secs_f64());
    }

    /// Adds a sample of the share of an engine's load that this process sent.
    pub(super) fn observe_share(&mut self, share: f64) {
        self.own_share.add(share);
    }

    /// Estimated number of concurrent requests over all router processes, derived from the rate at
    /// which this process receives them.
    pub(super) fn concurrency(&self, own_requests_per_second: f64) -> f64 {
        let own = own_requests_per_second * self.residence_seconds.value();
        own / self.own_share.value().max(MIN_OWN_SHARE)
    }

    /// Time to compute `tokens` prompt tokens.
    pub(super) fn prefill_time(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens.max(0.0) / self.prefill_speed.tokens_per_second())
    }

    /// Prompt tokens that can be computed in `time`.
    pub(super) fn tokens_in(&self, time: Duration) -> f64 {
        time.as_secs_f64() * self.prefill_speed.tokens_per_second()
    }
}
