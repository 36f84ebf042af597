//! The steady clock.

use std::time::Duration;

use ryerouter_core::Timestamp;
use tokio::time::{Instant, sleep_until};

/// The steady clock of a process: time of day never decides anything.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

/// Timestamps begin this far from zero, so that times before the start can be told.
const ORIGIN_MICROS: u64 = 3_600_000_000;

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Now.
    pub fn now(&self) -> Timestamp {
        let elapsed = self.origin.elapsed().as_micros() as u64;
        Timestamp::from_micros(ORIGIN_MICROS + elapsed)
    }

    /// When it started.
    pub fn start_time(&self) -> Timestamp {
        Timestamp::from_micros(ORIGIN_MICROS)
    }

    /// The next moment at which tasks that look for something every `interval` do so: all at the same moments, since
    /// each wake-up of a process costs more than a look. With a moment for each, the intervals of an idle node's tasks
    /// add up to 120 wake-ups a second in place of 20.
    pub fn next_look(&self, interval: Duration) -> Instant {
        let passed = self.origin.elapsed().as_micros() / interval.as_micros();
        let next = u32::try_from(passed + 1).unwrap_or(u32::MAX);
        self.origin + interval * next
    }

    /// Waits for that moment.
    pub async fn look(&self, interval: Duration) {
        sleep_until(self.next_look(interval)).await;
    }

    /// The instant of a timestamp, for timers.
    pub fn instant(&self, at: Timestamp) -> Instant {
        let since_origin = at.since(Timestamp::from_micros(ORIGIN_MICROS));
        self.origin + since_origin
    }
}
