//! First tokens of the requests of one pool and route.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;

use super::decayed_mean::DecayedMean;
use super::excess_times::ExcessTimes;
use super::{DelayEstimate, FirstToken};

/// A deviation counts half after this time. The spread changes less than the mean and needs more
/// values.
const SPREAD_HALF_LIFE: Duration = Duration::from_secs(2);
/// Ratio of the standard deviation of a normal distribution to its mean deviation.
const DEVIATIONS_TO_SPREAD: f64 = 1.25;
/// Measurements of less weight are forgotten.
const MIN_WEIGHT: f64 = 0.01;

/// First tokens of the requests of one pool and route.
#[derive(Debug)]
pub(super) struct LikeRequests {
    /// Requests that fetch from no store.
    others: ExcessTimes,
    /// Requests that fetch from a store, by store.
    by_store: BTreeMap<SocketAddr, ExcessTimes>,
    /// Deviation of each request from the mean of its group.
    deviation: DecayedMean,
}

impl Default for LikeRequests {
    fn default() -> Self {
        Self {
            others: ExcessTimes::default(),
            by_store: BTreeMap::new(),
            deviation: DecayedMean::new(SPREAD_HALF_LIFE),
        }
    }
}

impl LikeRequests {
    pub(super) fn note(&mut self, token: FirstToken, now: Timestamp) {
        let group = match token.store {
            Some(store) => self.by_store.entry(store).or_default(),
            None => &mut self.others,
        };
        if let Some(deviation) = group.note(token.excess_ms, now) {
            self.deviation.note(deviation, now);
        }
    }

    /// The delay of a store as far as these requests show it; `None` without requests to compare.
    pub(super) fn delay_of(&self, store: SocketAddr, now: Timestamp) -> Option<DelayEstimate> {
        let group = self.by_store.get(&store)?;
        let (with, without) = (group.weight(now), self.others.weight(now));
        if with < MIN_WEIGHT || without < MIN_WEIGHT {
            return None;
        }
        Some(DelayEstimate {
            delay_ms: group.mean_ms()? - self.others.mean_ms()?,
            weight: with * without / (with + without),
            log_ratio: group.log_mean()? - self.others.log_mean()?,
            spread: DEVIATIONS_TO_SPREAD * self.deviation.mean()?,
        })
    }

    /// Whether all measurements are too old to count.
    pub(super) fn is_forgotten(&self, now: Timestamp) -> bool {
        let groups = self.by_store.values().chain([&self.others]);
        groups
            .into_iter()
            .all(|group| group.weight(now) < MIN_WEIGHT)
    }
}
