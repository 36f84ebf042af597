//! Delays of the KV stores, as the first tokens of requests show them.

mod decayed_mean;
mod delay_change;
mod delay_estimate;
mod excess_times;
mod first_token;
mod like_requests;
mod store_standing;
mod update;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;

pub use delay_change::DelayChange;
pub use delay_estimate::DelayEstimate;
pub use first_token::FirstToken;
pub use update::SourceDelayUpdate;

use like_requests::LikeRequests;
use store_standing::StoreStanding;

/// Maximum number of routes with measurements. When it is reached, all are measured again.
const MAX_ROUTES: usize = 256;
/// Maximum number of stores in one message.
const MAX_UPDATES: usize = 16;
/// A measurement of less weight is not reported.
const MIN_REPORTED_WEIGHT: f64 = 0.05;

/// Delays of the KV stores.
///
/// The delay of a store is the time by which requests that fetch from it get their first token later
/// than requests of the same pool and route that don't. Queues of engines delay both, so they cancel
/// out. Each node measures a few requests only, so nodes exchange their measurements. See
/// docs/design/kv-sources.md.
#[derive(Debug, Default)]
pub struct SourceDelays {
    /// Own measurements, by pool and route.
    routes: BTreeMap<(PoolName, String), LikeRequests>,
    standings: BTreeMap<SocketAddr, StoreStanding>,
    /// When a request that fetched from a store last got its first token, by store.
    measured_at: BTreeMap<SocketAddr, Timestamp>,
}

impl SourceDelays {
    /// Records the first token of a request.
    pub fn note(&mut self, pool: &PoolName, route: &str, token: FirstToken, now: Timestamp) {
        let key = (pool.clone(), route.to_owned());
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&key) {
            self.routes.clear();
        }
        let like_requests = self.routes.entry(key).or_default();
        like_requests.note(token, now);
        if let Some(store) = token.store {
            self.measured_at.insert(store, now);
        }
    }

    /// Own measurements, to be sent to the other nodes; none while no delay is noticeable.
    pub fn updates(&self, now: Timestamp) -> Vec<SourceDelayUpdate> {
        self.updates_with(&[], now)
    }

    /// The measurements of this node and those that others have reported, combined for each store.
    /// Once a delay is noticeable, it is reported whatever it is: reports of large delays alone would
    /// make the mean too large.
    pub fn updates_with(
        &self,
        others: &[SourceDelayUpdate],
        now: Timestamp,
    ) -> Vec<SourceDelayUpdate> {
        let stores = self.standings.iter();
        let updates = stores.filter_map(|(store, standing)| {
            let estimate = self.estimate(*store, others, now)?;
            let is_noticeable = estimate.is_noticeable() || standing.is_watched();
            let is_reported = is_noticeable && estimate.weight >= MIN_REPORTED_WEIGHT;
            is_reported.then(|| SourceDelayUpdate::new(*store, estimate))
        });
        updates.take(MAX_UPDATES).collect()
    }

    /// Recomputes the delays of `stores` from own measurements and those of other nodes. Returns the
    /// stores that have become slow or quick.
    pub fn refresh(
        &mut self,
        stores: impl IntoIterator<Item = SocketAddr>,
        others: &[SourceDelayUpdate],
        now: Timestamp,
    ) -> Vec<DelayChange> {
        self.routes.retain(|_, known| !known.is_forgotten(now));
        let mut before = std::mem::take(&mut self.standings);
        let mut changes = Vec::new();
        for store in stores {
            let estimate = self.estimate(store, others, now);
            let mut standing = before.remove(&store).unwrap_or_default();
            if standing.update(estimate, now) {
                changes.push(DelayChange {
                    store,
                    is_slow: standing.is_slow(),
                    estimate,
                    reports: others.iter().filter(|update| update.0 == store).count(),
                    measured_at: self.measured_at.get(&store).copied(),
                });
            }
            self.standings.insert(store, standing);
        }
        let standings = &self.standings;
        self.measured_at
            .retain(|store, _| standings.contains_key(store));
        changes
    }

    /// By how much a fetch from the store is expected to delay the first token of a request; zero
    /// while the store is quick. Some requests, chosen by `request_hash`, use a slow store as if it
    /// were quick, so that its recovery is seen.
    pub fn delay_of(&self, store: SocketAddr, request_hash: u64) -> Duration {
        let standing = self.standings.get(&store);
        standing.map_or(Duration::ZERO, |standing| standing.delay_for(request_hash))
    }

    /// Whether the store is slow.
    pub fn is_slow(&self, store: SocketAddr) -> bool {
        self.standings
            .get(&store)
            .is_some_and(StoreStanding::is_slow)
    }

    /// The measured delay of each store; zero while it is quick.
    pub fn delays(&self) -> impl Iterator<Item = (SocketAddr, Duration)> {
        let standings = self.standings.iter();
        standings.map(|(store, standing)| (*store, standing.slow_delay()))
    }

    /// Whether there is anything to recompute.
    pub fn is_idle(&self) -> bool {
        self.routes.is_empty() && !self.standings.values().any(StoreStanding::is_watched)
    }

    fn estimate(
        &self,
        store: SocketAddr,
        others: &[SourceDelayUpdate],
        now: Timestamp,
    ) -> Option<DelayEstimate> {
        let own = self.routes.values();
        let own = own.filter_map(|like_requests| like_requests.delay_of(store, now));
        let others = others.iter().filter(|update| update.0 == store);
        DelayEstimate::combine(own.chain(others.map(SourceDelayUpdate::estimate)))
    }
}
