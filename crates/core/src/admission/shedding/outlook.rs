//! What a request meets at a pool.

use std::time::Duration;

/// Time within which the backlog is brought to its limit. Reports of other zones take up to a second, and a shorter
/// time would make the backlog oscillate.
const CONTROL_HORIZON: Duration = Duration::from_secs(1);

/// What a request of some urgency meets at a pool, over all nodes and in units of work.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outlook {
    /// Work per second that is asked for with this urgency.
    pub asked: f64,
    /// Work per second of this urgency that engines can begin, besides more urgent work.
    pub capacity: f64,
    /// Work of this urgency or a higher one that was sent to engines and has not begun.
    pub waiting: f64,
    /// Time for which such requests may wait.
    pub max_wait: Duration,
}

impl Outlook {
    /// Subtracts work that counts as not begun although it does not queue.
    pub(super) fn subtract_in_service(&mut self, work: f64) {
        self.waiting = (self.waiting - work).max(0.0);
    }

    /// Share of the work asked for that can be admitted so that it waits for `max_wait`; at most 1.
    pub fn share(&self) -> f64 {
        let horizon = CONTROL_HORIZON.as_secs_f64();
        let room = self.capacity * self.max_wait.as_secs_f64() - self.waiting;
        let admissible = (self.capacity * horizon + room).max(0.0);
        (admissible / (self.asked * horizon).max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Time for which a request waits that is sent now.
    pub fn wait(&self) -> Duration {
        self.time_for(self.waiting)
    }

    /// Time after which requests wait for no longer than `max_wait`, if none is added.
    pub fn drain_time(&self) -> Duration {
        self.time_for(self.waiting - self.capacity * self.max_wait.as_secs_f64())
    }

    fn time_for(&self, work: f64) -> Duration {
        let seconds = work.max(0.0) / self.capacity.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
