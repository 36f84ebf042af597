//! Retry budget of one process.

use std::collections::VecDeque;

use ryerouter_core::Timestamp;

use super::RetrySettings;

/// Share of the budget that this process uses. The rest is a margin for measurements of the budget
/// in windows that begin and end at other times than this node's.
const USABLE_SHARE: f64 = 0.8;

/// Share of the usable budget for attempts that have not failed; the rest is reserved for retries
/// of failed ones.
const SPECULATIVE_SHARE: f64 = 0.5;

/// Counts requests and retries of one pool in a sliding window.
///
/// Invariant: in no window does this process use more than its share of the floor plus the ratio of
/// the requests it received itself. So the retries of all processes together stay within the
/// budget.
#[derive(Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

impl RetryWindow {
    /// Records the arrival of a request.
    pub fn count_request(&mut self, settings: &RetrySettings, now: Timestamp) {
        self.expire(settings, now);
        self.requests.push_back(now);
    }

    /// Takes one retry; returns `false` if the budget is exhausted. `processes` is the number of
    /// processes that share the floor.
    #[must_use]
    pub fn spend(&mut self, settings: &RetrySettings, processes: usize, now: Timestamp) -> bool {
        self.spend_share(1.0, settings, processes, now)
    }

    /// Takes a retry for an attempt that has not failed but may only be slow. Returns `false`
    /// earlier than [`Self::spend`], which leaves retries for failed attempts.
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
