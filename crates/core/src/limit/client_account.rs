//! A tenant's permits in one router process.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::catalog::TenantLimits;
use crate::identity::NodeName;
use crate::timestamp::Timestamp;

use super::{LimitCost, LimitSettings};

/// A request to an allocator that has not been answered yet.
#[derive(Debug, Clone)]
pub(super) struct PendingRequest {
    pub allocator: NodeName,
    pub serial: u64,
    pub wanted: LimitCost,
    pub min_tokens: u64,
    pub requested_at: Timestamp,
    /// Allocators to ask next if this one grants too little.
    pub next_allocators: Vec<NodeName>,
}

/// A tenant's permits in one router process.
#[derive(Debug, Clone, Default)]
pub(super) struct ClientAccount {
    requests: u64,
    tokens: u64,
    permits_until: Timestamp,
    /// Streams that may run, by the allocator that counts them.
    pub streams_held: BTreeMap<NodeName, u64>,
    pub streams_running: u64,
    pub pending: Option<PendingRequest>,
    pub renew_at: Timestamp,
    pub denied_until: Timestamp,
    /// Demand of the current window, including refused requests.
    demand: LimitCost,
    /// Permits spent in the current window.
    spent: LimitCost,
    /// Demand of the previous window, including refused requests.
    demand_before: LimitCost,
    demand_since: Timestamp,
    pub used_at: Timestamp,
}

impl ClientAccount {
    pub fn record_demand(&mut self, cost: &LimitCost, settings: &LimitSettings, now: Timestamp) {
        self.used_at = now;
        let window = settings.prefetch;
        if now >= self.demand_since.after(window) {
            let recent = now < self.demand_since.after(window * 2);
            let ended = std::mem::take(&mut self.demand);
            self.spent = LimitCost::default();
            self.demand_before = if recent { ended } else { LimitCost::default() };
            self.demand_since = now;
        }
        self.demand.requests += cost.requests;
        self.demand.tokens += cost.tokens;
    }

    /// Drops permits that have expired.
    pub fn drop_expired(&mut self, now: Timestamp) {
        if now >= self.permits_until {
            self.requests = 0;
            self.tokens = 0;
        }
    }

    /// Takes the permits for a request if all of them are available.
    pub fn spend(&mut self, limits: &TenantLimits, cost: &LimitCost, now: Timestamp) -> bool {
        self.drop_expired(now);
        let requests_short = limits.requests_per_second.is_some() && self.requests < cost.requests;
        let tokens_short = limits.tokens_per_second.is_some() && self.tokens < cost.tokens;
        let streams_short = limits.concurrent_streams.is_some()
            && self.held() < self.streams_running + cost.streams;
        if requests_short || tokens_short || streams_short {
            return false;
        }
        self.requests = self.requests.saturating_sub(cost.requests);
        self.tokens = self.tokens.saturating_sub(cost.tokens);
        self.streams_running += cost.streams;
        self.spent.requests += cost.requests;
        self.spent.tokens += cost.tokens;
        true
    }

    /// Permits to request: enough for a request of `cost` and for as much traffic as in the previous
    /// window.
    pub fn wanted(&self, limits: &TenantLimits, cost: &LimitCost) -> LimitCost {
        let have = LimitCost {
            requests: self.requests,
            tokens: self.tokens,
            streams: self.held().saturating_sub(self.streams_running),
        };
        let unmet = self.demand.minus(&self.spent);
        let ahead = LimitCost {
            requests: self
                .demand_before
                .requests
                .max(unmet.requests)
                .max(cost.requests),
            tokens: self.demand_before.tokens.max(unmet.tokens).max(cost.tokens),
            streams: unmet.requests.max(cost.streams),
        };
        let mut wanted = ahead.minus(&have);
        if limits.requests_per_second.is_none() {
            wanted.requests = 0;
        }
        if limits.tokens_per_second.is_none() {
            wanted.tokens = 0;
        }
        if limits.concurrent_streams.is_none() {
            wanted.streams = 0;
        }
        wanted
    }

    /// Adds granted permits, which expire `validity` after `requested_at`.
    pub fn deposit(
        &mut self,
        allocator: &NodeName,
        granted: &LimitCost,
        requested_at: Timestamp,
        validity: Duration,
    ) {
        let until = requested_at.after(validity);
        let has_permits = self.requests > 0 || self.tokens > 0;
        if granted.requests > 0 || granted.tokens > 0 {
            // New permits must not extend the validity of older ones.
            self.permits_until = if has_permits {
                self.permits_until.min(until)
            } else {
                until
            };
        }
        self.requests += granted.requests;
        self.tokens += granted.tokens;
        if granted.streams > 0 {
            *self.streams_held.entry(allocator.clone()).or_default() += granted.streams;
        }
    }

    /// Returns streams that are not running to the allocators; the next request reports it to them.
    pub fn release_spare_streams(&mut self) {
        let mut spare = self.held().saturating_sub(self.streams_running);
        for held in self.streams_held.values_mut() {
            let given_back = spare.min(*held);
            *held -= given_back;
            spare -= given_back;
        }
    }

    /// Assigns to `successor` the streams of allocators that are no longer in the group.
    pub fn reassign(&mut self, allocators: &[NodeName], successor: &NodeName) {
        let mut orphaned = 0;
        self.streams_held.retain(|allocator, held| {
            let is_kept = allocators.contains(allocator);
            if !is_kept {
                orphaned += *held;
            }
            is_kept
        });
        if orphaned > 0 {
            *self.streams_held.entry(successor.clone()).or_default() += orphaned;
        }
    }

    /// Number of streams held from all allocators.
    pub fn held(&self) -> u64 {
        self.streams_held.values().sum()
    }
}
