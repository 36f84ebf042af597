//! One run of a simulated cluster.

use std::time::Duration;

use desque::serial::Simulation;

use super::{Cluster, ClusterEvent, ClusterSettings, Fault, RunCounters};
use crate::oracle::Violation;

/// A fault and when it begins and ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimedFault {
    /// When it begins, from the start of the run.
    pub begins: Duration,
    /// How long it lasts; faults that do not last ignore it.
    pub lasts: Duration,
    /// The fault.
    pub fault: Fault,
}

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

/// When the first configuration is sent, from the start of a run.
const FIRST_CHANGE: Duration = Duration::from_secs(2);
/// When requests begin, from the start of a run.
const FIRST_REQUEST: Duration = Duration::from_secs(8);

/// Runs a cluster with the given faults and gives what came of it.
pub fn simulate(settings: ClusterSettings, faults: &[TimedFault]) -> RunOutcome {
    let cluster = Cluster::new(settings.clone());
    let mut simulation = Simulation::new(cluster, 0);
    let mut schedule = |at: Duration, event: ClusterEvent| {
        simulation
            .schedule(event, at.as_micros() as u64)
            .expect("time only rises");
    };
    for node in 0..settings.nodes {
        schedule(
            Duration::from_millis(50 * node as u64),
            ClusterEvent::NodeStarts { node },
        );
    }
    schedule(FIRST_CHANGE, ClusterEvent::FirstChange);
    schedule(FIRST_REQUEST, ClusterEvent::NextRequest);
    schedule(FIRST_REQUEST, ClusterEvent::OperatorActs);
    schedule(FIRST_REQUEST, ClusterEvent::CheckOverdue);
    for timed in faults {
        schedule(timed.begins, ClusterEvent::FaultBegins(timed.fault));
        schedule(
            timed.begins + timed.lasts,
            ClusterEvent::FaultEnds(timed.fault),
        );
    }
    simulation.run().expect("events never fail");
    outcome(simulation.state())
}

fn outcome(cluster: &Cluster) -> RunOutcome {
    RunOutcome {
        violations: cluster.oracle().violations().to_vec(),
        counters: *cluster.counters(),
        trace_hash: cluster.trace_hash(),
        simulated: Duration::from_micros(cluster.now_us()),
    }
}
