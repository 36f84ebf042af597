//! A tenant's account at an allocator.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::catalog::TenantLimits;
use crate::identity::NodeName;
use crate::timestamp::Timestamp;

use super::{LimitCost, LimitRequest, LimitSettings, TokenBucket};

/// Permits for this much traffic may be granted at once.
const BURST: Duration = Duration::from_secs(1);
const MILLI: u64 = 1_000;

/// What an allocator knows of one client.
#[derive(Debug, Clone, Default)]
struct ClientRecord {
    serial: u64,
    streams: u64,
    reported_at: Timestamp,
}

/// A tenant's account at an allocator: the allocator's share of the limits, and the streams that
/// clients hold.
#[derive(Debug, Clone)]
pub(super) struct AllocatorAccount {
    requests: Option<TokenBucket>,
    tokens: Option<TokenBucket>,
    streams: Option<u64>,
    clients: BTreeMap<NodeName, ClientRecord>,
    opened_at: Timestamp,
    used_at: Timestamp,
}

impl AllocatorAccount {
    /// Opens the account of an allocator that has granted no permits from it since `opened_at`.
    pub fn new(opened_at: Timestamp, now: Timestamp) -> Self {
        Self {
            requests: None,
            tokens: None,
            streams: None,
            clients: BTreeMap::new(),
            opened_at,
            used_at: now,
        }
    }

    /// Sets this allocator's share of the limits; `share` returns its share of a total.
    pub fn set_limits(
        &mut self,
        limits: &TenantLimits,
        share: impl Fn(u64) -> u64,
        now: Timestamp,
    ) {
        let rate = |limit: Option<u32>| limit.map(|limit| share(u64::from(limit) * MILLI));
        let requests = rate(limits.requests_per_second);
        let tokens = rate(limits.tokens_per_second);
        set_rate(&mut self.requests, requests, self.opened_at, now);
        set_rate(&mut self.tokens, tokens, self.opened_at, now);
        self.streams = limits
            .concurrent_streams
            .map(|limit| share(u64::from(limit)));
    }

    /// When a client last sent a request to this account.
    pub fn used_at(&self) -> Timestamp {
        self.used_at
    }

    /// Records the streams that the request reports as held. Returns whether the request is newer
    /// than all earlier ones of the client.
    pub fn record(&mut self, from: &NodeName, request: &LimitRequest, now: Timestamp) -> bool {
        self.used_at = now;
        let client = self.clients.entry(from.clone()).or_default();
        if request.serial <= client.serial {
            return false;
        }
        client.serial = request.serial;
        client.streams = request.streams_held;
        client.reported_at = now;
        true
    }

    /// Grants as much as possible of what is wanted.
    pub fn grant(
        &mut self,
        from: &NodeName,
        request: &LimitRequest,
        settings: &LimitSettings,
        now: Timestamp,
    ) -> LimitCost {
        self.remove_silent(settings, now);
        let wanted = &request.wanted;
        let streams = self.grant_streams(from, wanted.streams, settings, now);
        let requests = match &mut self.requests {
            Some(bucket) => bucket.take(wanted.requests, now),
            None => wanted.requests,
        };
        let tokens = match &mut self.tokens {
            Some(bucket) => bucket.take_at_least(request.min_tokens, wanted.tokens, now),
            None => wanted.tokens,
        };
        LimitCost {
            requests,
            tokens,
            streams,
        }
    }

    fn grant_streams(
        &mut self,
        from: &NodeName,
        wanted: u64,
        settings: &LimitSettings,
        now: Timestamp,
    ) -> u64 {
        let Some(limit) = self.streams else {
            return wanted;
        };
        // After a restart the allocator first waits until each client has reported the streams that
        // it holds.
        if now < self.opened_at.after(settings.renew_interval * 2) {
            return 0;
        }
        let allocated: u64 = self.clients.values().map(|known| known.streams).sum();
        let granted = wanted.min(limit.saturating_sub(allocated));
        if let Some(client) = self.clients.get_mut(from) {
            client.streams += granted;
        }
        granted
    }

    fn remove_silent(&mut self, settings: &LimitSettings, now: Timestamp) {
        self.clients
            .retain(|_, client| now < client.reported_at.after(settings.stream_retention));
    }
}

fn set_rate(
    bucket: &mut Option<TokenBucket>,
    rate_milli: Option<u64>,
    opened_at: Timestamp,
    now: Timestamp,
) {
    match (bucket.as_mut(), rate_milli) {
        (Some(bucket), Some(rate_milli)) => bucket.set_rate(rate_milli, now),
        (None, Some(rate_milli)) => {
            *bucket = Some(TokenBucket::empty(rate_milli, BURST, opened_at));
        }
        (_, None) => *bucket = None,
    }
}
