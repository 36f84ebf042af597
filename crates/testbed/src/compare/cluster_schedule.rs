//! What is known of a run before it starts: arrivals, faults, load reports.

use std::time::Duration;

use ryerouter_core::Timestamp;

use super::cluster_event::ClusterEvent;
use super::simulated_cluster::SimulatedCluster;
use crate::scenario::FaultSpec;

impl SimulatedCluster {
    pub(super) fn schedule_arrivals(&mut self) {
        let client = Duration::from_micros(self.scenario.network.client_micros);
        for request in 0..self.workload.requests.len() {
            let at = self.workload.requests[request].sent_at.after(client);
            self.schedule(at, ClusterEvent::RequestArrives { request });
        }
    }

    pub(super) fn schedule_faults(&mut self) {
        for fault in self.scenario.faults.clone() {
            let at = Timestamp::ZERO.after(Duration::from_secs_f64(fault.at_seconds()));
            match fault {
                FaultSpec::EngineCrash {
                    engine,
                    down_millis,
                    ..
                } => self.schedule_crash(engine as usize, at, down_millis),
                FaultSpec::ZoneCrash {
                    zone, down_millis, ..
                } => {
                    for engine in 0..self.engines.len() {
                        if self.deployment.engines[engine].zone.as_str() == zone {
                            self.schedule_crash(engine, at, down_millis);
                        }
                    }
                }
            }
        }
    }

    pub(super) fn schedule_crash(&mut self, engine: usize, at: Timestamp, down_millis: u64) {
        let back_at = at.after(Duration::from_millis(down_millis));
        self.schedule(at, ClusterEvent::EngineCrashes { engine, back_at });
    }

    /// Engines report at the same rate but not at the same moment.
    pub(super) fn schedule_reports(&mut self) {
        let interval = self.report_interval();
        for engine in 0..self.engines.len() {
            let share = engine as f64 / self.engines.len() as f64;
            let at = Timestamp::ZERO.after(interval.mul_f64(share));
            self.schedule(at, ClusterEvent::EngineReports { engine });
        }
    }

    pub(super) fn report_interval(&self) -> Duration {
        Duration::from_millis(self.scenario.load_reports.interval_millis)
    }
}
