//! A simulated cluster that runs step by step.

use std::time::Duration;

use desque::serial::Simulation;

use super::{Cluster, ClusterEvent, ClusterSettings, RunOutcome, TimedFault};

/// Time between the starts of router processes.
const START_INTERVAL: Duration = Duration::from_millis(50);
/// When the first configuration is sent, from the start of a run.
const FIRST_CHANGE: Duration = Duration::from_secs(2);
/// When requests begin, from the start of a run.
const FIRST_REQUEST: Duration = Duration::from_secs(8);

/// A simulated cluster that runs step by step, so that faults may be decided on in between.
pub struct SteppedCluster {
    simulation: Simulation<Cluster, u64>,
}

impl SteppedCluster {
    /// A cluster whose processes are about to start.
    pub fn new(settings: ClusterSettings) -> Self {
        let nodes = settings.nodes;
        let simulation = Simulation::new(Cluster::new(settings), 0);
        let mut cluster = Self { simulation };
        for node in 0..nodes {
            cluster.schedule(
                START_INTERVAL * node as u32,
                ClusterEvent::NodeStarts { node },
            );
        }
        cluster.schedule(FIRST_CHANGE, ClusterEvent::FirstChange);
        cluster.schedule(FIRST_REQUEST, ClusterEvent::NextRequest);
        cluster.schedule(FIRST_REQUEST, ClusterEvent::OperatorActs);
        cluster.schedule(FIRST_REQUEST, ClusterEvent::CheckOverdue);
        cluster
    }

    /// Orders a fault, from now on.
    pub fn bring_about(&mut self, timed: TimedFault) {
        self.schedule(timed.begins, ClusterEvent::FaultBegins(timed.fault));
        self.schedule(
            timed.begins + timed.lasts,
            ClusterEvent::FaultEnds(timed.fault),
        );
    }

    /// Runs for a while.
    pub fn advance(&mut self, duration: Duration) {
        let until_us = *self.simulation.current_time() + duration.as_micros() as u64;
        self.simulation.state_mut().pause_at_us = until_us;
        self.run();
    }

    /// Runs to the end of the load and the rest after it.
    pub fn run_to_end(&mut self) {
        self.simulation.state_mut().pause_at_us = u64::MAX;
        self.run();
    }

    /// The cluster as it is now.
    pub fn cluster(&self) -> &Cluster {
        self.simulation.state()
    }

    /// What has come of the run so far.
    pub fn outcome(&self) -> RunOutcome {
        let cluster = self.cluster();
        RunOutcome {
            violations: cluster.oracle().violations().to_vec(),
            counters: *cluster.counters(),
            trace_hash: cluster.trace_hash(),
            simulated: Duration::from_micros(cluster.now_us()),
        }
    }

    fn run(&mut self) {
        self.simulation.run().expect("events never fail");
    }

    fn schedule(&mut self, after: Duration, event: ClusterEvent) {
        let at_us = *self.simulation.current_time() + after.as_micros() as u64;
        self.simulation
            .schedule(event, at_us)
            .expect("time only rises");
    }
}
