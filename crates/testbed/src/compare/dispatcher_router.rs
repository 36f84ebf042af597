//! The router's own dispatcher in every router process.

use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::{DispatchAction, DispatchEvent, DispatchParameters, Dispatcher};

use super::cluster_router::ClusterRouter;
use super::deployment::Deployment;
use super::simulated_engine::SimulatedEngine;

/// One [`Dispatcher`] for each router process; they share nothing.
#[derive(Debug)]
pub(super) struct DispatcherRouter {
    dispatchers: Vec<Dispatcher>,
}

impl DispatcherRouter {
    /// Dispatchers that have the deployment's configuration.
    pub fn new(deployment: &Deployment, parameters: &DispatchParameters, seed: u64) -> Self {
        let dispatchers = deployment.nodes.iter().zip(0..).map(|(site, number)| {
            let mut dispatcher = Dispatcher::with_parameters(
                site.data_centre.clone(),
                site.zone.clone(),
                seed.wrapping_mul(NODE_SEED_STRIDE).wrapping_add(number),
                parameters.clone(),
            );
            let event = DispatchEvent::SnapshotPublished(deployment.snapshot.clone());
            dispatcher.handle(event, Timestamp::ZERO, &mut Vec::new());
            dispatcher
        });
        Self {
            dispatchers: dispatchers.collect(),
        }
    }
}

const NODE_SEED_STRIDE: u64 = 1_000_003;

impl ClusterRouter for DispatcherRouter {
    fn handle(
        &mut self,
        node: usize,
        event: DispatchEvent,
        now: Timestamp,
        _engines: &[SimulatedEngine],
        actions: &mut Vec<DispatchAction>,
    ) {
        self.dispatchers[node].handle(event, now, actions);
    }
}
