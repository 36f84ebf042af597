//! Requests of one urgency at one node.

use std::time::Duration;

use super::{Backlog, TenantMix, Ticket, Usage};
use crate::Timestamp;
use crate::quota::Meter;

/// Averaging time of the work asked for. It is no longer than a report takes, so that a surge is seen early.
const ASKED_WINDOW: Duration = Duration::from_millis(300);
/// Averaging time of the work asked for where a node estimates the load of all nodes from its own.
const STEADY_WINDOW: Duration = Duration::from_secs(4);
/// Averaging time of the work begun. Engines begin requests in bursts, whenever others end.
const BEGUN_WINDOW: Duration = Duration::from_millis(600);

/// Time in which the longest wait that was seen loses half of its weight.
const WAIT_HALF_LIFE: Duration = Duration::from_secs(8);
/// Work counts as waiting for this multiple of the longest recent wait, and for this multiple of the target latency at least.
const COUNTED_WAITS: f64 = 2.0;
const MIN_COUNTED_WAIT_SHARE: f64 = 0.25;

/// Weight that the work of recent requests loses with each further one.
const RECENT_GAIN: f64 = 1.0 / 64.0;

/// Requests of one urgency at one node.
#[derive(Debug)]
pub(super) struct Class {
    pub(super) asked: Meter,
    /// Requests, averaged over the same time.
    requests: Meter,
    /// Work asked for, averaged over a longer time.
    pub(super) steady_asked: Meter,
    pub(super) begun: Meter,
    pub(super) backlog: Backlog,
    pub(super) tenants: TenantMix,
    /// Sums of the work of recent requests and of its square.
    recent_work: (f64, f64),
    /// Target latency of the last request that was sent.
    pub(super) target: Duration,
    /// Longest wait of work that has begun, and when that was seen.
    longest_wait: (Duration, Timestamp),
    /// When engines last began work.
    pub(super) begun_at: Timestamp,
}

impl Class {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            asked: Meter::new(ASKED_WINDOW, now),
            requests: Meter::new(ASKED_WINDOW, now),
            steady_asked: Meter::new(STEADY_WINDOW, now),
            begun: Meter::new(BEGUN_WINDOW, now),
            backlog: Backlog::default(),
            tenants: TenantMix::default(),
            recent_work: (0.0, 0.0),
            target: Duration::ZERO,
            longest_wait: (Duration::ZERO, now),
            begun_at: now,
        }
    }

    /// Records that engines have begun work.
    pub(super) fn note_begun(&mut self, ticket: Ticket, work: f64, now: Timestamp) {
        let wait = now.since(ticket.since());
        if wait >= self.longest_wait(now) {
            self.longest_wait = (wait, now);
        }
        self.begun.count(work, now);
        self.begun_at = now;
    }

    /// Longest recent wait of work that has begun.
    fn longest_wait(&self, now: Timestamp) -> Duration {
        let (wait, seen_at) = self.longest_wait;
        let half_lives = now.since(seen_at).as_secs_f64() / WAIT_HALF_LIFE.as_secs_f64();
        wait.mul_f64((-half_lives).exp2())
    }

    /// Work that waits for longer is held where it can't begin, since other work begins much sooner.
    fn counted_wait(&self, now: Timestamp) -> Duration {
        let usual = self.longest_wait(now).mul_f64(COUNTED_WAITS);
        usual.max(self.target.mul_f64(MIN_COUNTED_WAIT_SHARE))
    }

    /// Requests per second.
    pub(super) fn requests_per_second(&self, now: Timestamp) -> f64 {
        self.requests.per_second(now)
    }

    /// Whether some work has waited for this time.
    pub(super) fn has_waited(&self, time: Duration, now: Timestamp) -> bool {
        let oldest = self.backlog.oldest();
        oldest.is_some_and(|since| now.since(since) >= time)
    }

    /// Records a request.
    pub(super) fn note_asked(&mut self, work: f64, now: Timestamp) {
        self.asked.count(work, now);
        self.requests.count(1.0, now);
        self.steady_asked.count(work, now);
        let (sum, squares) = self.recent_work;
        let kept = 1.0 - RECENT_GAIN;
        self.recent_work = (sum * kept + work, squares * kept + work * work);
    }

    /// Work per second that is asked for, less one standard deviation.
    pub(super) fn certain_asked(&self, now: Timestamp) -> f64 {
        let requests = self.requests.per_second(now) * ASKED_WINDOW.as_secs_f64();
        self.asked.per_second(now) * (1.0 - 1.0 / requests.max(1.0).sqrt())
    }

    /// Mean work of a request, weighted by work.
    pub(super) fn mean_work(&self) -> f64 {
        let (sum, squares) = self.recent_work;
        squares / sum.max(f64::MIN_POSITIVE)
    }

    pub(super) fn usage(&mut self, now: Timestamp) -> Usage {
        let queued_since = now.before(self.counted_wait(now));
        Usage {
            asked: self.asked.per_second(now),
            begun: self.begun.per_second(now),
            waiting: self.backlog.total_since(queued_since, now),
        }
    }
}
