//! What happened to a deployment.

use std::time::Duration;

use super::Outage;

/// What happened to a deployment.
#[derive(Debug, Default)]
pub struct ChaosLog {
    /// Router nodes that went away and came back.
    pub outages: Vec<Outage>,
    /// Engines that died.
    pub engine_crashes: usize,
    /// Promises that were seen broken while it happened.
    pub broken: Vec<String>,
}

impl ChaosLog {
    /// Longest time from the start of a node to when it served.
    pub fn slowest_start(&self) -> Duration {
        let times = self.outages.iter().map(|outage| outage.start_time);
        times.max().unwrap_or_default()
    }
}
