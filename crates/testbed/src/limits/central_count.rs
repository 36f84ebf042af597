//! Central count.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::limit::TokenBucket;

use super::{Scheme, Verdict};

const BURST: Duration = Duration::from_secs(1);
const MESSAGES_PER_REQUEST: u64 = 2;

/// One node counts each request of all nodes; a node that can't reach it refuses.
pub struct CentralCount {
    buckets: Vec<TokenBucket>,
    nodes: usize,
    cut: bool,
    messages: u64,
}

impl CentralCount {
    /// A count of `limit` requests a second for each of `tenants`, kept by the first node.
    pub fn new(nodes: usize, tenants: usize, limit: u64, now: Timestamp) -> Self {
        let bucket = TokenBucket::empty(limit * 1_000, BURST, now);
        Self {
            buckets: vec![bucket; tenants],
            nodes,
            cut: false,
            messages: 0,
        }
    }
}

impl Scheme for CentralCount {
    fn request(&mut self, node: usize, tenant: usize, now: Timestamp) -> Verdict {
        if self.cut && node >= self.nodes / 2 {
            self.messages += 1;
            return Verdict::Refused;
        }
        if node > 0 {
            self.messages += MESSAGES_PER_REQUEST;
        }
        if self.buckets[tenant].take(1, now) == 1 {
            Verdict::Admitted
        } else {
            Verdict::Refused
        }
    }

    fn advance(&mut self, _now: Timestamp, _decided: &mut Vec<(usize, bool)>) {}

    fn set_cut(&mut self, cut: bool, _now: Timestamp) {
        self.cut = cut;
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}
