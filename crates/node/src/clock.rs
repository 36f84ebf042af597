//! The clock of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use ryerouter_core::Timestamp;

/// Time since the Unix epoch that never goes backwards: the wall clock is read once.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    started_at_micros: u64,
}

impl Clock {
    /// A clock that starts at the present wall-clock time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started: Instant::now(),
            started_at_micros: since_epoch.as_micros() as u64,
        }
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        let elapsed = self.started.elapsed().as_micros() as u64;
        Timestamp::from_micros(self.started_at_micros + elapsed)
    }
}
