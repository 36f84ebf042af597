//! The clock of a process.

mod suspensions;

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use ryerouter_core::Timestamp;
use tokio::time::{Instant, sleep_until, timeout_at};

pub use suspensions::Suspensions;

/// The clock of a process: the steady one and the time for which its machine was suspended, when that stands still.
///
/// What is believed for a time (a lease, a proof, the age of a list) would look younger otherwise than it is to all
/// others. Time of day never decides anything but how old a record is that another process has written.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
    suspensions: Suspensions,
}

/// A limit that passes during a suspension is noticed so long after it at the latest; the timers of the runtime stand
/// still with the steady clock.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Timestamps begin three days from zero, so that times before the start can be told: nothing that nodes tell each other or
/// keep records of is remembered for longer.
const ORIGIN_MICROS: u64 = 3 * 86_400 * 1_000_000;

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self::start_with(Suspensions::of_machine())
    }

    /// The same, told of suspensions by something else than the machine.
    pub fn start_with(suspensions: Suspensions) -> Self {
        Self {
            origin: Instant::now(),
            suspensions,
        }
    }

    /// Now.
    pub fn now(&self) -> Timestamp {
        let elapsed = self.origin.elapsed() + self.suspended();
        Timestamp::from_micros(ORIGIN_MICROS + elapsed.as_micros() as u64)
    }

    /// How long the machine has been suspended since then.
    pub fn suspended(&self) -> Duration {
        self.suspensions.total()
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

    /// What a future gives; `None` when the time has come before.
    pub async fn until<T>(&self, limit: Timestamp, future: impl Future<Output = T>) -> Option<T> {
        let mut future = pin!(future);
        loop {
            let look = self.instant(limit).min(Instant::now() + LONGEST_WAIT);
            if let Ok(output) = timeout_at(look, &mut future).await {
                return Some(output);
            }
            if self.now() >= limit {
                return None;
            }
        }
    }

    /// The instant of a timestamp, for timers; one that was set before a suspension is late by its length.
    pub fn instant(&self, at: Timestamp) -> Instant {
        let since_origin = at.since(self.start_time());
        self.origin + since_origin.saturating_sub(self.suspended())
    }
}
