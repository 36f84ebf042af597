//! Runs one scenario under each policy.

use std::collections::BTreeMap;
use std::sync::Arc;

use desque::serial::Simulation;
use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::DispatchParameters;
use ryerouter_core::identity::{RequestId, WeightsVersion};

use super::cluster_router::ClusterRouter;
use super::consistent_hash::ConsistentHash;
use super::deployment::Deployment;
use super::direct_router::DirectRouter;
use super::dispatcher_router::DispatcherRouter;
use super::engine_choice::EngineChoice;
use super::least_loaded::LeastLoaded;
use super::omniscient::Omniscient;
use super::round_robin::RoundRobin;
use super::session_hash::SessionHash;
use super::simulated_cluster::SimulatedCluster;
use super::{Policy, PolicyReport};
use crate::scenario::Scenario;
use crate::workload::{SessionId, Workload};

/// Weights that every engine serves throughout a run.
const WEIGHTS_VERSION: WeightsVersion = WeightsVersion(1);

const HUNDREDTHS: f64 = 100.0;

/// What a comparison is run with.
#[derive(Debug, Clone, Default)]
pub struct ComparisonOptions {
    /// Seed of the arrivals and of every random choice.
    pub seed: u64,
    /// Parameters of the router's own dispatcher.
    pub parameters: DispatchParameters,
}

/// Results of one scenario under several policies, with identical arrivals.
#[derive(Debug, Clone, PartialEq)]
pub struct Comparison {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed.
    pub seed: u64,
    /// A report for each policy, in the order asked for.
    pub reports: Vec<PolicyReport>,
}

impl Comparison {
    /// The report of a policy.
    pub fn report(&self, policy: Policy) -> Option<&PolicyReport> {
        self.reports.iter().find(|report| report.policy == policy)
    }
}

/// Runs a scenario under each of `policies`, each in a thread of its own.
pub fn compare(
    scenario: &Arc<Scenario>,
    policies: &[Policy],
    options: &ComparisonOptions,
) -> Comparison {
    let workload = Arc::new(Workload::generate(scenario, WEIGHTS_VERSION, options.seed));
    let reports = std::thread::scope(|scope| {
        let runs: Vec<_> = policies
            .iter()
            .map(|policy| {
                let workload = workload.clone();
                scope.spawn(move || run_policy(scenario.clone(), workload, *policy, options))
            })
            .collect();
        let join = |run: std::thread::ScopedJoinHandle<'_, PolicyReport>| {
            run.join().expect("a run does not panic")
        };
        runs.into_iter().map(join).collect()
    });
    Comparison {
        scenario: scenario.name.clone(),
        seed: options.seed,
        reports,
    }
}

/// Runs a scenario with these arrivals under one policy.
pub fn run_policy(
    scenario: Arc<Scenario>,
    workload: Arc<Workload>,
    policy: Policy,
    options: &ComparisonOptions,
) -> PolicyReport {
    let deployment = Arc::new(Deployment::new(&scenario, WEIGHTS_VERSION));
    let router = router(policy, &deployment, &workload, options);
    let mut cluster = SimulatedCluster::new(scenario, workload, deployment, router, options.seed);
    let scheduled = cluster.take_scheduled();
    let mut simulation = Simulation::new(cluster, 0);
    for (at, event) in scheduled {
        let at = at.as_micros();
        simulation.schedule(event, at).expect("the run starts at 0");
    }
    simulation.run().expect("events do not fail");
    let end = Timestamp::from_micros(*simulation.current_time());
    simulation.state_mut().end(end);
    PolicyReport::new(policy, simulation.state())
}

fn router(
    policy: Policy,
    deployment: &Arc<Deployment>,
    workload: &Workload,
    options: &ComparisonOptions,
) -> Box<dyn ClusterRouter> {
    let engines = deployment.engines.len();
    match policy {
        Policy::Ours => Box::new(DispatcherRouter::new(
            deployment,
            &options.parameters,
            options.seed,
        )),
        Policy::Oracle(hundredths) => {
            let choice = Omniscient::new(engines, f64::from(hundredths) / HUNDREDTHS);
            direct(deployment, workload, choice, true)
        }
        Policy::RoundRobin => direct(deployment, workload, RoundRobin::default(), false),
        Policy::LeastLoaded => direct(deployment, workload, LeastLoaded::default(), false),
        Policy::SessionHash => direct(deployment, workload, SessionHash::new(engines), false),
        Policy::ConsistentHash => direct(deployment, workload, ConsistentHash::new(engines), false),
    }
}

fn direct<C: EngineChoice + 'static>(
    deployment: &Arc<Deployment>,
    workload: &Workload,
    choice: C,
    knows_all: bool,
) -> Box<dyn ClusterRouter> {
    let sessions: BTreeMap<RequestId, SessionId> = workload
        .requests
        .iter()
        .map(|request| (request.request.clone(), request.session))
        .collect();
    let router = DirectRouter::new(deployment.clone(), Arc::new(sessions), choice, knows_all);
    Box::new(router)
}
