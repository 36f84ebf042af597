//! One node without a control thread, with a fixed configuration.

use std::net::SocketAddr;
use std::sync::Arc;

use ryerouter_core::catalog::{
    ApiKeyHash, BackEnd, BackEndState, Catalog, DEFAULT_WEIGHT_LOADS_AT_ONCE, Pool, PoolKind,
    Tenant, TenantLimits,
};
use ryerouter_core::dispatch::RoutingSnapshot;
use ryerouter_core::identity::{
    BackEndName, ConfigVersion, DataCentreName, ModelName, NodeName, PoolName, ResourceVersion,
    TenantName, WeightsVersion, ZoneName,
};
use ryerouter_node::logging;
use ryerouter_node::traffic::{
    ObservationSink, RunningNode, TrafficSettings, UnavailableClaimGate,
};
use sha2::{Digest, Sha256};
use tokio::sync::watch;

use super::overhead_error::OverheadError;

/// API key of the only tenant.
pub const API_KEY: &str = "key-overhead";

const PLACE: &str = "here";
const POOL: &str = "engines";
const TENANT: &str = "overhead";

/// One node without a control thread, with a fixed configuration.
pub struct OverheadNode {
    node: RunningNode,
    // Dropped, it would end the feed of snapshots.
    _snapshots: watch::Sender<Arc<RoutingSnapshot>>,
}

impl OverheadNode {
    /// Starts it before these back ends.
    ///
    /// # Errors
    ///
    /// It cannot start.
    pub fn start(back_ends: &[SocketAddr], threads: usize) -> Result<Self, OverheadError> {
        let snapshot = RoutingSnapshot {
            catalog: Arc::new(catalog(back_ends)),
            ..RoutingSnapshot::default()
        };
        let (snapshots, feed) = watch::channel(Arc::new(snapshot));
        let settings = TrafficSettings {
            node: NodeName::new("overhead"),
            data_centre: DataCentreName::new(PLACE),
            zone: ZoneName::new(PLACE),
            threads,
            ..TrafficSettings::default()
        };
        let node = RunningNode::start(
            settings,
            feed,
            Arc::new(UnavailableClaimGate),
            ObservationSink::discarding(),
            logging::discarding_logger(),
        )?;
        Ok(Self {
            node,
            _snapshots: snapshots,
        })
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.node.address()
    }

    /// Stops it as planned.
    pub async fn stop(self) {
        self.node.stop().await;
    }
}

fn catalog(addresses: &[SocketAddr]) -> Catalog {
    let tenant = Tenant {
        name: TenantName::new(TENANT),
        api_key_hashes: vec![ApiKeyHash(hex::encode(Sha256::digest(API_KEY)))],
        weight: 1,
        limits: TenantLimits::default(),
        version: ResourceVersion(1),
    };
    let pool = Pool {
        name: PoolName::new(POOL),
        kind: PoolKind::Model {
            model: ModelName::new("model"),
            weights_version: WeightsVersion(1),
            adapters: Vec::new(),
            weight_loads_at_once: DEFAULT_WEIGHT_LOADS_AT_ONCE,
        },
        kv_store: None,
        version: ResourceVersion(1),
    };
    let back_ends = addresses.iter().enumerate().map(|(number, address)| {
        let name = BackEndName::new(format!("engine-{number}"));
        (name.clone(), back_end(name, *address))
    });
    Catalog {
        version: ConfigVersion(1),
        tenants: [(tenant.name.clone(), tenant)].into(),
        pools: [(pool.name.clone(), pool)].into(),
        back_ends: back_ends.collect(),
        ..Catalog::default()
    }
}

fn back_end(name: BackEndName, address: SocketAddr) -> BackEnd {
    BackEnd {
        name,
        pool: PoolName::new(POOL),
        address,
        data_centre: DataCentreName::new(PLACE),
        zone: ZoneName::new(PLACE),
        state: BackEndState::Active,
        version: ResourceVersion(1),
    }
}
