//! How long loads take.

use std::time::Duration;

/// How long loads take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightLoadProfile {
    /// Time of one load when no more than `at_once` run.
    pub duration: Duration,
    /// Loads that run at full speed together; more share that speed.
    pub at_once: u32,
}

impl WeightLoadProfile {
    /// Time of a load that starts as the `running`th.
    pub fn duration_of(self, running: u32) -> Duration {
        let running = running.max(self.at_once);
        self.duration * running / self.at_once.max(1)
    }
}
