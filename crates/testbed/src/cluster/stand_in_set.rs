//! All stand-ins of a deployment.

use std::sync::Arc;
use std::time::Duration;

use ryerouter_core::identity::WeightsVersion;

use super::ClusterError;
use crate::scenario::Scenario;
use crate::standins::kept_cache::KvStore;
use crate::standins::machines::{Machine, MachineList, MachineRole, MachineState};
use crate::standins::model_engine::{Engine, EngineSettings, ExecutionLedger, PrefillLedger};
use crate::standins::objects::ObjectApi;
use crate::standins::service::{PlainService, PlainServiceFaults};
use crate::standins::weights::{WeightLoadProfile, WeightStore};

/// How late the machine list is.
const MACHINE_LIST_LAG: Duration = Duration::from_secs(3);

/// The weights that engines start with.
pub const FIRST_WEIGHTS: WeightsVersion = WeightsVersion(1);

/// A back end and where it stands.
#[derive(Debug)]
pub struct Placed<B> {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its zone.
    pub zone: String,
    /// The back end.
    pub back_end: B,
}

/// All stand-ins of a deployment.
#[derive(Debug)]
pub struct StandInSet {
    /// The object API.
    pub objects: ObjectApi,
    /// The machine list.
    pub machines: MachineList,
    /// The KV store.
    pub kept: KvStore,
    /// The weight store.
    pub weights: WeightStore,
    /// Engines.
    pub engines: Vec<Placed<Engine>>,
    /// Plain services.
    pub services: Vec<Placed<PlainService>>,
    /// Prompt tokens computed by all engines.
    pub ledger: Arc<PrefillLedger>,
    /// Executions by all engines.
    pub executions: Arc<ExecutionLedger>,
}

impl StandInSet {
    /// Starts all of them.
    ///
    /// # Errors
    ///
    /// A port cannot be bound.
    pub async fn start(scenario: &Scenario, seed: u64) -> Result<Self, ClusterError> {
        let profile = WeightLoadProfile {
            duration: Duration::from_millis(scenario.model_pool.weights_load_millis),
            at_once: scenario.model_pool.weights_loads_at_once,
        };
        let mut stand_ins = Self {
            objects: ObjectApi::start(seed).await?,
            machines: MachineList::start(MACHINE_LIST_LAG).await?,
            kept: KvStore::start().await?,
            weights: WeightStore::start(profile).await?,
            engines: Vec::new(),
            services: Vec::new(),
            ledger: Arc::default(),
            executions: Arc::default(),
        };
        stand_ins.start_engines(scenario, seed).await?;
        stand_ins.start_services(scenario, seed).await?;
        stand_ins.list_machines();
        Ok(stand_ins)
    }

    /// Executions of a plain request by its idempotency key, over all services.
    pub fn service_executions(&self, key: &str) -> u32 {
        let services = self.services.iter();
        services
            .map(|placed| placed.back_end.executions_of(key))
            .sum()
    }

    async fn start_engines(&mut self, scenario: &Scenario, seed: u64) -> Result<(), ClusterError> {
        let zones = scenario.zones();
        for number in 0..scenario.model_pool.engines {
            let settings = EngineSettings {
                model: scenario.model_pool.model.clone(),
                weights_version: FIRST_WEIGHTS,
                profile: scenario.engine.clone(),
                load_lag: Duration::from_millis(scenario.load_reports.lag_millis),
                weight_store: Some(self.weights.address()),
                ledger: Arc::clone(&self.ledger),
                executions: Arc::clone(&self.executions),
                seed: seed.wrapping_add(u64::from(number)),
                ..EngineSettings::default()
            };
            let (data_centre, zone) = zones[number as usize % zones.len()];
            self.engines.push(Placed {
                name: format!("{}-{number}", scenario.model_pool.name),
                data_centre: scenario.data_centres[data_centre].name.clone(),
                zone: zone.to_owned(),
                back_end: Engine::start(settings).await?,
            });
        }
        Ok(())
    }

    async fn start_services(&mut self, scenario: &Scenario, seed: u64) -> Result<(), ClusterError> {
        let zones = scenario.zones();
        for number in 0..scenario.service_pool.processes {
            let service = PlainService::start(seed.wrapping_add(u64::from(number))).await?;
            service.set_faults(PlainServiceFaults {
                delay: Duration::from_micros(scenario.service_pool.service_micros),
                ..PlainServiceFaults::default()
            });
            let (data_centre, zone) = zones[number as usize % zones.len()];
            self.services.push(Placed {
                name: format!("{}-{number}", scenario.service_pool.name),
                data_centre: scenario.data_centres[data_centre].name.clone(),
                zone: zone.to_owned(),
                back_end: service,
            });
        }
        Ok(())
    }

    fn list_machines(&self) {
        let engines = self.engines.iter();
        let engines = engines.map(|engine| {
            let address = engine.back_end.address();
            (address, MachineRole::Engine, &engine.zone)
        });
        let services = self.services.iter();
        let services = services.map(|service| {
            let address = service.back_end.address();
            (address, MachineRole::Service, &service.zone)
        });
        for (address, role, zone) in engines.chain(services) {
            self.machines.set(Machine {
                address,
                role,
                zone: zone.clone(),
                state: MachineState::Live,
            });
        }
    }
}
