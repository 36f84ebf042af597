//! Static split.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::limit::TokenBucket;

use super::{Scheme, Verdict};

const BURST: Duration = Duration::from_secs(1);

/// Each node has an equal part of each limit for good.
pub struct StaticSplit {
    buckets: Vec<Vec<TokenBucket>>,
}

impl StaticSplit {
    /// A split of `limit` requests a second for each of `tenants` over `nodes`.
    pub fn new(nodes: usize, tenants: usize, limit: u64, now: Timestamp) -> Self {
        let rate_milli = limit * 1_000 / nodes as u64;
        let bucket = TokenBucket::empty(rate_milli, BURST, now);
        Self {
            buckets: vec![vec![bucket; tenants]; nodes],
        }
    }
}

impl Scheme for StaticSplit {
    fn request(&mut self, node: usize, tenant: usize, now: Timestamp) -> Verdict {
        if self.buckets[node][tenant].take(1, now) == 1 {
            Verdict::Admitted
        } else {
            Verdict::Refused
        }
    }

    fn advance(&mut self, _now: Timestamp, _decided: &mut Vec<(usize, bool)>) {}

    fn set_cut(&mut self, _cut: bool, _now: Timestamp) {}

    fn messages(&self) -> u64 {
        0
    }
}
