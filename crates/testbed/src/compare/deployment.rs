//! The deployment of a scenario, numbered.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use ryerouter_core::catalog::{BackEnd, BackEndState, Catalog, Pool, PoolKind, Tenant};
use ryerouter_core::dispatch::RoutingSnapshot;
use ryerouter_core::identity::{
    BackEndName, ConfigVersion, DataCentreName, ModelName, PoolName, ResourceVersion, TenantName,
    WeightsVersion, ZoneName,
};

use crate::scenario::Scenario;

/// Where a process stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Site {
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its zone.
    pub zone: ZoneName,
}

/// The deployment of a scenario: back ends are numbered, engines first, then plain services.
#[derive(Debug)]
pub(super) struct Deployment {
    /// Router processes.
    pub nodes: Vec<Site>,
    /// Engines.
    pub engines: Vec<Site>,
    /// Plain service processes.
    pub services: Vec<Site>,
    /// The configuration.
    pub snapshot: Arc<RoutingSnapshot>,
    /// The pool of engines.
    pub model_pool: PoolName,
    /// The pool of plain services.
    pub service_pool: PoolName,
    /// Weights that every engine serves.
    pub weights_version: WeightsVersion,
    names: Vec<BackEndName>,
    numbers: BTreeMap<BackEndName, usize>,
}

impl Deployment {
    /// Numbers the deployment of a scenario.
    pub fn new(scenario: &Scenario, weights_version: WeightsVersion) -> Self {
        let sites = zone_sites(scenario);
        let in_turn = |count: u32| sites.iter().cycle().take(count as usize).cloned().collect();
        let engines: Vec<Site> = in_turn(scenario.model_pool.engines);
        let services: Vec<Site> = in_turn(scenario.service_pool.processes);
        let names = back_end_names(scenario);
        let numbers = names.iter().cloned().zip(0..).collect();
        let catalog = catalog(
            scenario,
            weights_version,
            &names,
            engines.iter().chain(&services),
        );
        Self {
            nodes: in_turn(scenario.nodes_per_zone * sites.len() as u32),
            engines,
            services,
            snapshot: Arc::new(RoutingSnapshot {
                catalog: Arc::new(catalog),
                ..RoutingSnapshot::default()
            }),
            model_pool: PoolName::new(&scenario.model_pool.name),
            service_pool: PoolName::new(&scenario.service_pool.name),
            weights_version,
            names,
            numbers,
        }
    }

    /// Name of a back end.
    pub fn name(&self, back_end: usize) -> &BackEndName {
        &self.names[back_end]
    }

    /// Number of a back end.
    pub fn number(&self, name: &BackEndName) -> usize {
        self.numbers[name]
    }

    /// Where a back end stands.
    pub fn site(&self, back_end: usize) -> &Site {
        match self.engines.get(back_end) {
            Some(site) => site,
            None => &self.services[back_end - self.engines.len()],
        }
    }

    /// Its configuration.
    pub fn back_end(&self, back_end: usize) -> &BackEnd {
        &self.snapshot.catalog.back_ends[self.name(back_end)]
    }
}

fn zone_sites(scenario: &Scenario) -> Vec<Site> {
    scenario
        .zones()
        .into_iter()
        .map(|(data_centre, zone)| Site {
            data_centre: DataCentreName::new(&scenario.data_centres[data_centre].name),
            zone: ZoneName::new(zone),
        })
        .collect()
}

fn back_end_names(scenario: &Scenario) -> Vec<BackEndName> {
    let engines = numbered(&scenario.model_pool.name, scenario.model_pool.engines);
    let services = numbered(&scenario.service_pool.name, scenario.service_pool.processes);
    engines.chain(services).collect()
}

fn numbered(pool: &str, count: u32) -> impl Iterator<Item = BackEndName> {
    (0..count).map(move |number| BackEndName::new(format!("{pool}-{number:02}")))
}

fn catalog<'a>(
    scenario: &Scenario,
    weights_version: WeightsVersion,
    names: &[BackEndName],
    sites: impl Iterator<Item = &'a Site>,
) -> Catalog {
    let mut catalog = Catalog {
        version: ConfigVersion(1),
        ..Catalog::default()
    };
    for pool in pools(scenario, weights_version) {
        catalog.pools.insert(pool.name.clone(), pool);
    }
    for spec in &scenario.tenants {
        let tenant = tenant(&spec.name);
        catalog.tenants.insert(tenant.name.clone(), tenant);
    }
    for ((number, name), site) in names.iter().enumerate().zip(sites) {
        let is_engine = number < scenario.model_pool.engines as usize;
        let pool = if is_engine {
            &scenario.model_pool.name
        } else {
            &scenario.service_pool.name
        };
        let back_end = BackEnd {
            name: name.clone(),
            pool: PoolName::new(pool),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + number as u16)),
            data_centre: site.data_centre.clone(),
            zone: site.zone.clone(),
            state: BackEndState::Active,
            version: ResourceVersion(1),
        };
        catalog.back_ends.insert(name.clone(), back_end);
    }
    catalog
}

const FIRST_PORT: u16 = 10_000;

fn pools(scenario: &Scenario, weights_version: WeightsVersion) -> [Pool; 2] {
    let model = Pool {
        name: PoolName::new(&scenario.model_pool.name),
        kind: PoolKind::Model {
            model: ModelName::new(&scenario.model_pool.model),
            weights_version,
            adapters: Vec::new(),
            weight_loads_at_once: scenario.model_pool.weights_loads_at_once,
        },
        kv_store: None,
        version: ResourceVersion(1),
    };
    let service = Pool {
        name: PoolName::new(&scenario.service_pool.name),
        kind: PoolKind::Service,
        kv_store: None,
        version: ResourceVersion(1),
    };
    [model, service]
}

fn tenant(name: &str) -> Tenant {
    Tenant {
        name: TenantName::new(name),
        api_key_hashes: Vec::new(),
        weight: 1,
        limits: Default::default(),
        version: ResourceVersion(1),
    }
}
