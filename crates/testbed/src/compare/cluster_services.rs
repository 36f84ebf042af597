//! Plain service processes of a simulated cluster.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::AttemptOutcome;
use ryerouter_core::identity::AttemptId;

use super::cluster_event::ClusterEvent;
use super::simulated_cluster::SimulatedCluster;

impl SimulatedCluster {
    pub(super) fn service_receives(&mut self, back_end: usize, attempt: AttemptId, now: Timestamp) {
        let index = back_end - self.engines.len();
        let service = &mut self.services[index];
        if service.busy >= self.scenario.service_pool.concurrency {
            service.waiting.push_back(attempt);
            return;
        }
        service.busy += 1;
        self.schedule_service(back_end, attempt, now);
    }

    pub(super) fn schedule_service(&mut self, back_end: usize, attempt: AttemptId, now: Timestamp) {
        let time = Duration::from_micros(self.scenario.service_pool.service_micros);
        let event = ClusterEvent::ServiceFinishes { back_end, attempt };
        self.schedule(now.after(time), event);
    }

    pub(super) fn service_finishes(&mut self, back_end: usize, attempt: AttemptId, now: Timestamp) {
        self.end_attempt(attempt, AttemptOutcome::Completed, None, now);
        let index = back_end - self.engines.len();
        match self.services[index].waiting.pop_front() {
            Some(next) => self.schedule_service(back_end, next, now),
            None => self.services[index].busy -= 1,
        }
    }
}
