//! A node with its configuration.

use std::sync::Arc;

use ryerouter_core::Timestamp;
use ryerouter_core::catalog::{
    ApiKeyHash, BackEnd, BackEndState, Catalog, Pool, PoolKind, Tenant, TenantLimits,
};
use ryerouter_core::dispatch::RoutingSnapshot;
use ryerouter_core::identity::{
    BackEndName, ConfigVersion, DataCentreName, ModelName, PoolName, ResourceVersion, TenantName,
    WeightsVersion, ZoneName,
};
use ryerouter_node::logging::discarding_logger;
use ryerouter_node::traffic::{ClaimDecision, ObservationSink, RunningNode, TrafficSettings};
use sha2::{Digest, Sha256};
use tokio::sync::watch;

use super::{Caller, ScriptedBackEnd, ScriptedClaims};

pub const KEY: &str = "test-key";
pub const OTHER_KEY: &str = "other-key";
pub const MODEL: &str = "appraiser";
const POOL: &str = "models";
const SERVICE: &str = "alerts";

/// A node in front of back ends of one model pool and one service pool.
pub struct Cluster {
    pub node: RunningNode,
    pub claims: Arc<ScriptedClaims>,
    pub snapshots: watch::Sender<Arc<RoutingSnapshot>>,
}

/// Names that tests of plain services use.
pub struct ServiceCluster;

impl ServiceCluster {
    pub const PATH: &'static str = "/services/alerts/send";
}

/// A grant that does not lapse while a test runs.
pub fn granted() -> ClaimDecision {
    ClaimDecision::Granted {
        dispatch_before: Timestamp::from_micros(u64::MAX),
    }
}

pub fn test_settings() -> TrafficSettings {
    TrafficSettings {
        seed: 1,
        ..TrafficSettings::default()
    }
}

impl Cluster {
    /// A node with the usual settings whose claims are granted.
    pub fn start(engines: &[&ScriptedBackEnd], services: &[&ScriptedBackEnd]) -> Self {
        Self::start_with(test_settings(), granted(), engines, services)
    }

    pub fn start_with(
        settings: TrafficSettings,
        claims: ClaimDecision,
        engines: &[&ScriptedBackEnd],
        services: &[&ScriptedBackEnd],
    ) -> Self {
        let claims = Arc::new(ScriptedClaims::new(claims));
        let snapshot = Arc::new(snapshot(engines, services));
        let (snapshots, receiver) = watch::channel(snapshot);
        let node = RunningNode::start(
            settings,
            receiver,
            claims.clone(),
            ObservationSink::discarding(),
            discarding_logger(),
        );
        Self {
            node: node.unwrap(),
            claims,
            snapshots,
        }
    }

    pub async fn caller(&self) -> Caller {
        Caller::connect(self.node.address()).await
    }

    /// The value of a metric, as `/metrics` prints it.
    pub async fn metric(&self, name: &str) -> Option<f64> {
        let answer = self.caller().await.get("/metrics").await;
        let line = answer.body.lines().find(|line| {
            let rest = line.strip_prefix(name);
            rest.is_some_and(|rest| rest.starts_with(' '))
        })?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// A streamed chat request.
    pub fn stream_body() -> String {
        Self::chat_body(true)
    }

    pub fn chat_body(stream: bool) -> String {
        format!(
            "{{\"model\":\"{MODEL}\",\"stream\":{stream},\
             \"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}"
        )
    }
}

fn snapshot(engines: &[&ScriptedBackEnd], services: &[&ScriptedBackEnd]) -> RoutingSnapshot {
    let mut catalog = Catalog {
        version: ConfigVersion(1),
        ..Catalog::default()
    };
    add_tenant(&mut catalog, "tenant", KEY);
    add_tenant(&mut catalog, "other", OTHER_KEY);
    let model = PoolKind::Model {
        model: ModelName::new(MODEL),
        weights_version: WeightsVersion(1),
        adapters: Vec::new(),
        weight_loads_at_once: 1,
    };
    add_pool(&mut catalog, POOL, model);
    add_pool(&mut catalog, SERVICE, PoolKind::Service);
    for (number, engine) in engines.iter().enumerate() {
        add_back_end(&mut catalog, &format!("engine-{number}"), POOL, engine);
    }
    for (number, service) in services.iter().enumerate() {
        add_back_end(&mut catalog, &format!("service-{number}"), SERVICE, service);
    }
    RoutingSnapshot {
        catalog: Arc::new(catalog),
        ..RoutingSnapshot::default()
    }
}

fn add_tenant(catalog: &mut Catalog, name: &str, key: &str) {
    let tenant = Tenant {
        name: TenantName::new(name),
        api_key_hashes: vec![ApiKeyHash(hex::encode(Sha256::digest(key)))],
        weight: 1,
        limits: TenantLimits::default(),
        version: ResourceVersion(1),
    };
    catalog.tenants.insert(tenant.name.clone(), tenant);
}

fn add_pool(catalog: &mut Catalog, name: &str, kind: PoolKind) {
    let pool = Pool {
        name: PoolName::new(name),
        kind,
        kv_store: None,
        version: ResourceVersion(1),
    };
    catalog.pools.insert(pool.name.clone(), pool);
}

fn add_back_end(catalog: &mut Catalog, name: &str, pool: &str, server: &ScriptedBackEnd) {
    let back_end = BackEnd {
        name: BackEndName::new(name),
        pool: PoolName::new(pool),
        address: server.address,
        data_centre: DataCentreName::new("default"),
        zone: ZoneName::new("default"),
        state: BackEndState::Active,
        version: ResourceVersion(1),
    };
    catalog.back_ends.insert(back_end.name.clone(), back_end);
}
