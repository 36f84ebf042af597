//! Requests under way.

use std::collections::HashMap;

use parking_lot::Mutex;
use ryerouter_core::dispatch::EngineObservation;
use ryerouter_core::identity::{BackEndName, PoolName};

/// Requests under way, by pool and by back end, and what back ends last said of themselves.
#[derive(Debug, Default)]
pub(crate) struct LiveTraffic {
    pools: Mutex<HashMap<PoolName, PoolLive>>,
    back_ends: Mutex<HashMap<BackEndName, BackEndLive>>,
}

/// Requests of one pool under way.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PoolLive {
    /// Those with an attempt made.
    pub(crate) running: u32,
    /// Those without.
    pub(crate) waiting: u32,
}

/// Attempts on one back end under way.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct BackEndLive {
    pub(crate) in_flight: u32,
    pub(crate) observation: Option<EngineObservation>,
}

impl LiveTraffic {
    pub(crate) fn request_submitted(&self, pool: &PoolName) {
        self.change_pool(pool, |live| live.waiting += 1);
    }

    /// The first attempt of a request starts.
    pub(crate) fn request_started(&self, pool: &PoolName) {
        self.change_pool(pool, |live| {
            live.waiting = live.waiting.saturating_sub(1);
            live.running += 1;
        });
    }

    pub(crate) fn request_ended(&self, pool: &PoolName, started: bool) {
        self.change_pool(pool, |live| {
            let count = if started {
                &mut live.running
            } else {
                &mut live.waiting
            };
            *count = count.saturating_sub(1);
        });
    }

    pub(crate) fn attempt_started(&self, back_end: &BackEndName) {
        self.change_back_end(back_end, |live| live.in_flight += 1);
    }

    pub(crate) fn attempt_ended(&self, back_end: &BackEndName) {
        self.change_back_end(back_end, |live| {
            live.in_flight = live.in_flight.saturating_sub(1);
        });
    }

    pub(crate) fn observed(&self, back_end: &BackEndName, observation: EngineObservation) {
        self.change_back_end(back_end, |live| live.observation = Some(observation));
    }

    pub(crate) fn pool(&self, pool: &PoolName) -> PoolLive {
        self.pools.lock().get(pool).copied().unwrap_or_default()
    }

    pub(crate) fn back_end(&self, back_end: &BackEndName) -> BackEndLive {
        let back_ends = self.back_ends.lock();
        back_ends.get(back_end).copied().unwrap_or_default()
    }

    /// Forgets back ends that are no longer configured and have no attempts under way.
    pub(crate) fn retain(&self, is_configured: impl Fn(&BackEndName) -> bool) {
        let mut back_ends = self.back_ends.lock();
        back_ends.retain(|name, live| live.in_flight > 0 || is_configured(name));
    }

    fn change_pool(&self, pool: &PoolName, change: impl FnOnce(&mut PoolLive)) {
        let mut pools = self.pools.lock();
        // Looked up first, so that a known pool costs no copy of its name.
        match pools.get_mut(pool) {
            Some(live) => change(live),
            None => change(pools.entry(pool.clone()).or_default()),
        }
    }

    fn change_back_end(&self, back_end: &BackEndName, change: impl FnOnce(&mut BackEndLive)) {
        let mut back_ends = self.back_ends.lock();
        match back_ends.get_mut(back_end) {
            Some(live) => change(live),
            None => change(back_ends.entry(back_end.clone()).or_default()),
        }
    }
}
