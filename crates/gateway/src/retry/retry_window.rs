//! The retry budget of one process.

use std::collections::VecDeque;

use ryerouter_core::Timestamp;

use super::RetrySettings;

/// Share of the whole budget that is used: nodes and judges cut windows at other moments.
const USABLE_SHARE: f64 = 0.8;

/// Share of that which may go to attempts that have not failed: the rest is left for those that have.
const SPECULATIVE_SHARE: f64 = 0.5;

/// Counts requests and retries of one pool in a sliding window.
///
/// Invariant: in no window does this process spend more than its share of the floor and the ratio
/// of the requests it took itself, so the sum over all processes keeps to the whole budget.
#[derive(Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

impl RetryWindow {
    /// A request arrived.
    pub fn count_request(&mut self, settings: &RetrySettings, now: Timestamp) {
        self.expire(settings, now);
        self.requests.push_back(now);
    }

    /// Takes one retry; `false` when none is left. `processes` share the floor.
    #[must_use]
    pub fn spend(&mut self, settings: &RetrySettings, processes: usize, now: Timestamp) -> bool {
        self.spend_share(1.0, settings, processes, now)
    }

    /// The same for an attempt that has not failed and may only be slow: some are left for others.
    #[must_use]
    pub fn spend_speculative(
        &mut self,
        settings: &RetrySettings,
        processes: usize,
        now: Timestamp,
    ) -> bool {
        self.spend_share(SPECULATIVE_SHARE, settings, processes, now)
    }

    fn spend_share(
        &mut self,
        share: f64,
        settings: &RetrySettings,
        processes: usize,
        now: Timestamp,
    ) -> bool {
        self.expire(settings, now);
        let floor = settings.floor / processes.max(1) as f64;
        let earned = settings.ratio * self.requests.len() as f64;
        let allowed = (floor + earned) * USABLE_SHARE * share;
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn expire(&mut self, settings: &RetrySettings, now: Timestamp) {
        let start = now.before(settings.window);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at < start) {
                times.pop_front();
            }
        }
    }
}
