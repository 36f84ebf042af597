//! Events of a simulated cluster.

use desque::serial::{OkEvent, Simulation};
use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::DispatchEvent;
use ryerouter_core::identity::AttemptId;

use super::simulated_cluster::SimulatedCluster;
use crate::engine_model::EngineRequest;

/// Something that happens in a simulated cluster.
#[derive(Debug)]
pub(super) enum ClusterEvent {
    /// A request reaches its router process.
    RequestArrives {
        /// Number of the request in the workload.
        request: usize,
    },
    /// A message or answer reaches a router process.
    NodeReceives {
        /// The router process.
        node: usize,
        /// What reaches it.
        event: DispatchEvent,
    },
    /// A router process looks at its queue.
    NodeTicks {
        /// The router process.
        node: usize,
    },
    /// An attempt reaches an engine.
    EngineReceives {
        /// The engine.
        engine: usize,
        /// The attempt as the engine sees it.
        request: Box<EngineRequest>,
    },
    /// A cancellation reaches an engine.
    EngineCancels {
        /// The engine.
        engine: usize,
        /// The attempt.
        attempt: AttemptId,
    },
    /// An engine asked to be woken.
    EngineWakes {
        /// The engine.
        engine: usize,
    },
    /// An engine dies.
    EngineCrashes {
        /// The engine.
        engine: usize,
        /// When it is back.
        back_at: Timestamp,
    },
    /// An engine is back, empty.
    EngineReturns {
        /// The engine.
        engine: usize,
    },
    /// An engine sends its load report.
    EngineReports {
        /// The engine.
        engine: usize,
    },
    /// An attempt reaches a plain service process.
    ServiceReceives {
        /// The back end.
        back_end: usize,
        /// The attempt.
        attempt: AttemptId,
    },
    /// A plain service process has done a request.
    ServiceFinishes {
        /// The back end.
        back_end: usize,
        /// The attempt.
        attempt: AttemptId,
    },
}

impl OkEvent<SimulatedCluster, u64> for ClusterEvent {
    fn execute(&mut self, simulation: &mut Simulation<SimulatedCluster, u64>) {
        let now = Timestamp::from_micros(*simulation.current_time());
        let event = std::mem::replace(self, Self::NodeTicks { node: 0 });
        simulation.state_mut().handle(event, now);
        for (at, event) in simulation.state_mut().take_scheduled() {
            let at = at.as_micros().max(now.as_micros());
            simulation
                .schedule(event, at)
                .expect("no event lies in the past");
        }
    }
}
