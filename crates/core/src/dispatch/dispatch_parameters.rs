//! Parameters of the dispatcher.

use std::time::Duration;

use super::{DispatchMechanisms, Priority};
use crate::admission::QueueLimits;

/// Parameters of the dispatcher, with defaults that fit both a handful and thousands of engines.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchParameters {
    /// What is switched on.
    pub mechanisms: DispatchMechanisms,
    /// Most attempts for one request, resumed streams included.
    pub max_attempts: u32,
    /// When a caller may come back after a refusal for want of a back end.
    pub no_back_end_retry_after: Duration,
    /// How long a request waits for engines that are all ejected before it is refused.
    pub max_unavailable_wait: Duration,
    /// Bounds of the queue of each pool.
    pub queue: QueueLimits,
    /// Longest wait of an interactive request in the queue.
    pub interactive_queue_wait: Duration,
    /// Longest wait of a batch request in the queue.
    pub batch_queue_wait: Duration,
    /// A request is refused when its deadline passes before this share of the estimated time to
    /// its first token: then it certainly cannot be met.
    pub optimistic_wait_share: f64,
    /// Share that counts as cached everywhere of a prefix that many engines are known to hold.
    pub widely_cached_credit: f64,
    /// How many engines that is.
    pub widely_cached_min_engines: usize,
    /// Prompt tokens an engine computes a second, until it has been measured.
    pub prefill_tokens_per_second: f64,
    /// Tokens to compute that weigh as much as the KV memory of one request that runs in an engine.
    pub tokens_per_running_request: f64,
    /// The same for one that waits in an engine: it waits for memory, or for its prompt's turn.
    pub tokens_per_waiting_request: f64,
    /// Most waiting requests of an engine that are counted so.
    pub max_waiting_counted: f64,
    /// Requests of one prefix at once that one engine should serve.
    pub requests_per_engine: f64,
    /// Prefixes remembered in each generation of each table.
    pub remembered_prefixes: usize,
    /// Time constant of the request rate of a prefix.
    pub request_rate_time_constant: Duration,
    /// For so long after its first request a process knows too little of rates to narrow prefixes.
    pub warm_up: Duration,
    /// Engines in order whose time to the first token is estimated, besides known holders.
    pub scored_candidates: usize,
    /// Engines in order that are tried when those have no room.
    pub candidate_limit: usize,
    /// Price of a recomputed token, on top of the time it takes, for interactive work.
    pub interactive_recompute_price: f64,
    /// The same for batch work, which can wait for the engine that holds its prefix.
    pub batch_recompute_price: f64,
    /// Requests that may wait in an engine before its window shrinks.
    pub waiting_threshold: u32,
    /// How long a cache is expected to keep an unused prefix, until it has been measured.
    pub retention: Duration,
    /// Extra time to the first token from another zone.
    pub zone_latency: Duration,
    /// The same from another data centre, until it has been measured.
    pub data_centre_latency: Duration,
    /// Data centres up to this distance count as one where no migration stage decides.
    pub near_data_centre_latency: Duration,
    /// Time an import takes before its first byte.
    pub kv_import_latency: Duration,
    /// Tokens of KV cache imported a second.
    pub kv_import_tokens_per_second: f64,
    /// Prefixes shorter than this are neither exported nor imported.
    pub kv_minimum_tokens: u32,
    /// How long an exported prefix is expected in the KV store.
    pub kv_store_retention: Duration,
}

impl DispatchParameters {
    /// Longest wait in the queue.
    pub fn queue_wait(&self, priority: Priority) -> Duration {
        match priority {
            Priority::Interactive => self.interactive_queue_wait,
            Priority::Batch => self.batch_queue_wait,
        }
    }

    /// Price of a recomputed token, on top of the time it takes.
    pub fn recompute_price(&self, priority: Priority) -> f64 {
        if !self.mechanisms.recompute_price {
            return 0.0;
        }
        match priority {
            Priority::Interactive => self.interactive_recompute_price,
            Priority::Batch => self.batch_recompute_price,
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
            remembered_prefixes: 8_192,
            request_rate_time_constant: Duration::from_secs(20),
            warm_up: Duration::from_secs(10),
            scored_candidates: 8,
            candidate_limit: 32,
            interactive_recompute_price: 60.0,
            batch_recompute_price: 60.0,
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
