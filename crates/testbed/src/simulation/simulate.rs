//! One run of a simulated cluster.

use super::{ClusterSettings, RunCounters, SteppedCluster, TimedFault};
use crate::oracle::Violation;
use std::time::Duration;

/// What came of a run.
#[derive(Debug, Clone)]
pub struct RunOutcome {
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// What was counted.
    pub counters: RunCounters,
    /// Hash of everything that happened.
    pub trace_hash: u64,
    /// Time that passed in the cluster.
    pub simulated: Duration,
}

/// Runs a cluster with the given faults and gives what came of it.
pub fn simulate(settings: ClusterSettings, faults: &[TimedFault]) -> RunOutcome {
    let mut cluster = SteppedCluster::new(settings);
    for fault in faults {
        cluster.bring_about(*fault);
    }
    cluster.run_to_end();
    cluster.outcome()
}
