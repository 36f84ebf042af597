//! Parameters of the dispatcher.

use std::time::Duration;

use super::{DispatchMechanisms, Priority};
use crate::admission::QueueLimits;

/// Parameters of the dispatcher; the defaults suit deployments from a handful to thousands of
/// engines.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchParameters {
    /// Enabled mechanisms.
    pub mechanisms: DispatchMechanisms,
    /// Maximum number of attempts per request, including resumed streams.
    pub max_attempts: u32,
    /// Time after which a caller may retry when no back end was available.
    pub no_back_end_retry_after: Duration,
    /// When no engine is available, a request is queued if an engine can be tried again within this
    /// time; else it is refused.
    pub max_unavailable_wait: Duration,
    /// Limits of each pool's queue.
    pub queue: QueueLimits,
    /// Maximum time an interactive request waits in the queue.
    pub interactive_queue_wait: Duration,
    /// Maximum time a batch request waits in the queue.
    pub batch_queue_wait: Duration,
    /// A request is refused early only if its deadline lies before this share of the estimated time
    /// to first token, so that an estimate that is too high refuses no request that could be
    /// served.
    pub optimistic_wait_share: f64,
    /// Share of a widely cached prefix that is expected in the cache of every engine.
    pub widely_cached_credit: f64,
    /// A prefix known to be cached by this many engines counts as widely cached.
    pub widely_cached_min_engines: usize,
    /// Prefill speed in prompt tokens per second, until it has been measured.
    pub prefill_tokens_per_second: f64,
    /// Cost, in prompt tokens to compute, of the KV memory that one running request occupies.
    pub tokens_per_running_request: f64,
    /// Cost, in prompt tokens to compute, of one request waiting in an engine for memory or
    /// prefill.
    pub tokens_per_waiting_request: f64,
    /// Maximum number of waiting requests per engine that add to its cost.
    pub max_waiting_counted: f64,
    /// Target number of concurrent requests of one prefix per engine.
    pub requests_per_engine: f64,
    /// Maximum number of prefixes per generation of each prefix table.
    pub prefixes_per_generation: usize,
    /// Time constant of the request rate of a prefix.
    pub request_rate_time_constant: Duration,
    /// Time after the first request during which prefixes may use any engine, because request rates
    /// are not yet known well enough to limit them to fewer.
    pub warm_up: Duration,
    /// Number of engines, in candidate order, whose cost is estimated in addition to that of the
    /// engines known to cache part of the prompt.
    pub scored_candidates: usize,
    /// Length of the candidate order: further engines in it are tried when those above have no
    /// room.
    pub candidate_limit: usize,
    /// Penalty per recomputed token of an interactive request, added to the computing time.
    pub interactive_recompute_penalty: f64,
    /// Penalty per recomputed token of a batch request, which can wait for the engine that caches
    /// its prefix.
    pub batch_recompute_penalty: f64,
    /// Number of requests waiting in an engine above which its window (the limit on this process's
    /// requests in it) shrinks.
    pub waiting_threshold: u32,
    /// Expected time a cache retains an unused prefix, until it has been measured.
    pub retention: Duration,
    /// Extra time to first token from an engine in another zone.
    pub zone_latency: Duration,
    /// Extra time to first token from an engine in another data centre, until it has been measured.
    pub data_centre_latency: Duration,
    /// Data centres up to this latency are treated as a single one, unless a migration stage
    /// applies to the request.
    pub near_data_centre_latency: Duration,
    /// Latency of a KV import before its first byte.
    pub kv_import_latency: Duration,
    /// Tokens of KV cache imported per second.
    pub kv_import_tokens_per_second: f64,
    /// Minimum number of tokens for an export or import.
    pub kv_minimum_tokens: u32,
    /// Expected time the KV store retains an exported prefix.
    pub kv_store_retention: Duration,
}

impl DispatchParameters {
    /// Maximum time in the queue.
    pub fn queue_wait(&self, priority: Priority) -> Duration {
        match priority {
            Priority::Interactive => self.interactive_queue_wait,
            Priority::Batch => self.batch_queue_wait,
        }
    }

    /// Penalty per recomputed token, added to the computing time; 0 if the mechanism is disabled.
    pub fn recompute_penalty(&self, priority: Priority) -> f64 {
        if !self.mechanisms.recompute_penalty {
            return 0.0;
        }
        match priority {
            Priority::Interactive => self.interactive_recompute_penalty,
            Priority::Batch => self.batch_recompute_penalty,
        }
    }
}

impl Default for DispatchParameters {
    fn default() -> Self {
        Self {
            mechanisms: DispatchMechanisms::default(),
            max_attempts: 4,
            no_back_end_retry_after: Duration::from_secs(1),
            max_unavailable_wait: Duration::from_secs(1),
            queue: QueueLimits::default(),
            interactive_queue_wait: Duration::from_secs(10),
            batch_queue_wait: Duration::from_secs(120),
            optimistic_wait_share: 0.5,
            widely_cached_credit: 0.8,
            widely_cached_min_engines: 4,
            prefill_tokens_per_second: 10_000.0,
            tokens_per_running_request: 1_000.0,
            tokens_per_waiting_request: 3_000.0,
            max_waiting_counted: 16.0,
            requests_per_engine: 4.0,
            prefixes_per_generation: 8_192,
            request_rate_time_constant: Duration::from_secs(20),
            warm_up: Duration::from_secs(10),
            scored_candidates: 8,
            candidate_limit: 32,
            interactive_recompute_penalty: 60.0,
            batch_recompute_penalty: 60.0,
            waiting_threshold: 128,
            retention: Duration::from_secs(20),
            zone_latency: Duration::from_millis(2),
            data_centre_latency: Duration::from_millis(2),
            near_data_centre_latency: Duration::from_millis(10),
            kv_import_latency: Duration::from_millis(5),
            kv_import_tokens_per_second: 80_000.0,
            kv_minimum_tokens: 512,
            kv_store_retention: Duration::from_secs(60),
        }
    }
}
