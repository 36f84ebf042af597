//! A route.

use std::time::Duration;

use ryerouter_core::identity::PoolName;
use xxhash_rust::xxh3::xxh3_64;

use super::{RequestKind, WeightedPool};

/// Requests to one host below one path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Whether a broken stream may go on in another engine.
    pub is_resumable: bool,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Time to the first part of an answer that callers hope for.
    pub target_latency: Duration,
    /// Longest pause between the events of a stream that callers find no fault with.
    pub longest_pause: Option<Duration>,
    /// Most back ends that one request is sent to.
    pub max_attempts: u32,
    /// Urgency, 0 first.
    pub priority: u8,
    /// Where its requests go; at least one.
    pub pools: Vec<WeightedPool>,
}

impl Route {
    /// Whether a request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RequestKind::Safe => true,
            RequestKind::Unsafe => false,
            RequestKind::Streaming => self.is_resumable,
        }
    }

    /// The pool that serves a request, by the weights and a hash of its id; `None` if no pool may serve it.
    pub fn pool_of(&self, request_id: &str) -> Option<&PoolName> {
        let total: u64 = self.pools.iter().map(|part| u64::from(part.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut point = xxh3_64(request_id.as_bytes()) % total;
        for part in &self.pools {
            let weight = u64::from(part.weight);
            if point < weight {
                return Some(&part.pool);
            }
            point -= weight;
        }
        None
    }
}
