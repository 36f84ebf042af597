//! Exchanges whole tables.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::timestamp::Timestamp;

use super::MembershipTable;

/// Decides when and with whom this node exchanges its tables.
///
/// Gossip may miss a node; the exchange mends that. Only buckets whose hashes differ are sent, so
/// between nodes that agree an exchange costs one message.
#[derive(Debug)]
pub struct TableSync {
    seeds: Vec<SocketAddr>,
    next_seed: usize,
    joined: bool,
    started_at: Option<Timestamp>,
    next_join_at: Timestamp,
    next_sync_at: Timestamp,
}

impl TableSync {
    /// Time after which a node that no seed answers goes on alone.
    pub const JOIN_PATIENCE: Duration = Duration::from_millis(600);
    const JOIN_RETRY: Duration = Duration::from_millis(300);
    const JOIN_ALONE: Duration = Duration::from_secs(2);
    const SEED_CHECK: Duration = Duration::from_secs(30);
    const SYNC_EVERY: Duration = Duration::from_secs(60);
    /// Time after the start in which exchanges are frequent: two nodes that started together may
    /// agree and still lack the same others.
    const SETTLING: Duration = Duration::from_secs(10);
    const SYNC_SOON: Duration = Duration::from_secs(1);

    /// Exchanges of a node that knows `seeds`.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            joined: seeds.is_empty(),
            seeds,
            next_seed: 0,
            started_at: None,
            next_join_at: Timestamp::ZERO,
            next_sync_at: Timestamp::ZERO,
        }
    }

    /// The process started.
    pub fn start(&mut self, first_seed: u64, now: Timestamp) {
        self.started_at = Some(now);
        self.next_seed = first_seed as usize % self.seeds.len().max(1);
        self.next_sync_at = now.after(Self::SYNC_SOON);
    }

    /// Addresses to join.
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Whether this node knows other nodes, or has found that there are none to be reached.
    pub fn is_settled(&self, now: Timestamp) -> bool {
        let waited = self
            .started_at
            .map_or(Duration::ZERO, |started_at| now.since(started_at));
        self.joined || waited >= Self::JOIN_PATIENCE
    }

    /// A table came from another node.
    pub fn joined(&mut self) {
        self.joined = true;
    }

    /// Much has changed, so the next exchange is due soon.
    pub fn hasten(&mut self, now: Timestamp) {
        self.next_sync_at = self.next_sync_at.min(now.after(Self::SYNC_SOON));
    }

    /// An address that may be a node this one does not know of.
    pub fn hint(&mut self, address: SocketAddr) {
        if !self.seeds.contains(&address) && self.seeds.len() < Self::MAX_SEEDS {
            self.seeds.push(address);
        }
    }

    const MAX_SEEDS: usize = 32;

    /// The seed to join now, if one is due: often while alone, now and then to find a part of the
    /// cluster that started apart.
    pub fn join_target(&mut self, table: &MembershipTable, now: Timestamp) -> Option<SocketAddr> {
        if now < self.next_join_at || self.seeds.is_empty() {
            return None;
        }
        let is_alone = table.live_count() == 0;
        let pause = match (self.joined, is_alone) {
            (false, _) => Self::JOIN_RETRY,
            (true, true) => Self::JOIN_ALONE,
            (true, false) => Self::SEED_CHECK,
        };
        self.next_join_at = now.after(pause);
        let seed = self.seeds[self.next_seed % self.seeds.len()];
        self.next_seed += 1;
        (!table.has_address(&seed)).then_some(seed)
    }

    /// Whether an exchange is due.
    pub fn is_due(&mut self, now: Timestamp) -> bool {
        let is_due = now >= self.next_sync_at;
        if is_due {
            let is_new = self
                .started_at
                .is_some_and(|started_at| now.since(started_at) < Self::SETTLING);
            let pause = if is_new {
                Self::SYNC_SOON
            } else {
                Self::SYNC_EVERY
            };
            self.next_sync_at = now.after(pause);
        }
        is_due
    }
}

/// Buckets whose hashes differ.
pub fn differing_buckets(ours: &[u32], theirs: &[u32]) -> BTreeSet<usize> {
    (0..MembershipTable::BUCKETS)
        .filter(|bucket| ours.get(*bucket) != theirs.get(*bucket))
        .collect()
}
