//! A pool whose load is shed.

use std::time::Duration;

/// Share of the shortest target latency for which work waits at saturated engines. It lies above the share that requests may
/// wait, so that requests are refused before.
const SATURATED_WAIT_SHARE: f64 = 0.2;

/// A pool whose load is shed, as configured.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pool {
    /// Work per second that the engines can begin when they are not hindered.
    pub nominal: f64,
    /// Number of requests that the engines can begin at the same time.
    pub parallelism: f64,
    /// Shortest target latency of the routes to the pool.
    pub shortest_target: Duration,
}

impl Pool {
    /// Work that counts as not begun only because engines take their time for each request, without any queue: what is begun
    /// in the time that one engine takes for a request. `mean_work` is weighted by work, as large requests take longer.
    pub(super) fn in_service(&self, begun: f64, mean_work: f64) -> f64 {
        let per_engine = self.nominal / self.parallelism.max(1.0);
        let at_once = self.parallelism * mean_work;
        (begun * mean_work / per_engine.max(f64::MIN_POSITIVE)).min(at_once)
    }

    /// Engines are saturated when as much work waits as they can begin in this time.
    pub(super) fn saturated_wait(&self) -> Duration {
        self.shortest_target.mul_f64(SATURATED_WAIT_SHARE)
    }
}
