//! The steady clock.

use ryerouter_core::Timestamp;
use tokio::time::Instant;

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

    /// The instant of a timestamp, for timers.
    pub fn instant(&self, at: Timestamp) -> Instant {
        let since_origin = at.since(Timestamp::from_micros(ORIGIN_MICROS));
        self.origin + since_origin
    }
}
