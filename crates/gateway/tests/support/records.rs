//! Routes, pools, engines as the tests need them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::identity::{BackEndName, PoolName, TenantName, ZoneName};
use ryerouter_core::quota::Limit;
use ryerouter_gateway::catalogue::{
    CallerLimits, EngineProfile, KvStoreProfile, PoolProfile, RateLimit, RequestKind, Route,
    RoutingTable, Tenant, Unit, WeightedPool,
};
use ryerouter_gateway::engines::{EngineEntry, EngineState};

use super::test_dialect::MODEL;

pub const HOST: &str = "shop.example";
pub const POOL: &str = "pool";
pub const KEY_OF_TENANT: &str = "key-1";
pub const ZONE: &str = "zone-a";
/// So many failed calls in a row are a disruption of the source.
pub const FAILURES_OF_TROUBLE: u32 = 2;
pub const STORE: &str = "127.0.0.1:9";

/// A public route below `/`.
pub fn route(kind: RequestKind) -> Route {
    Route {
        name: "route".to_owned(),
        host: HOST.to_owned(),
        path_prefix: "/".to_owned(),
        kind,
        is_resumable: kind == RequestKind::Streaming,
        is_public: true,
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_millis(500),
        longest_pause: None,
        max_attempts: 2,
        priority: 1,
        pools: vec![WeightedPool {
            pool: PoolName::new(POOL),
            weight: 1,
        }],
    }
}

/// A table of these routes with one plain pool and one tenant.
pub fn table(version: u64, routes: Vec<Route>) -> RoutingTable {
    let limits = CallerLimits {
        body_bytes: 1_000,
        ..CallerLimits::default()
    };
    table_with_limits(version, routes, limits)
}

/// The same with these limits of callers.
pub fn table_with_limits(version: u64, routes: Vec<Route>, limits: CallerLimits) -> RoutingTable {
    let pools = vec![plain_pool()];
    RoutingTable::new(
        version,
        routes,
        pools,
        Vec::new(),
        Some(vec![tenant()]),
        limits,
    )
}

/// A table of these routes with one pool of engines and a store of kept KV cache.
pub fn model_table(routes: Vec<Route>) -> RoutingTable {
    build_model_table(routes, &[STORE])
}

/// A table of one route with these stores of kept KV cache.
pub fn model_table_with_stores(addresses: &[&str]) -> RoutingTable {
    build_model_table(vec![route(RequestKind::Streaming)], addresses)
}

fn build_model_table(routes: Vec<Route>, stores: &[&str]) -> RoutingTable {
    let store = |address: &&str| KvStoreProfile {
        address: address.parse().expect("address"),
        zone: ZoneName::new(ZONE),
        kv_tokens: 100_000,
    };
    let stores = stores.iter().map(store).collect();
    table_with(routes, stores)
}

/// A table of one route with these stores of kept KV cache, which stand in any zone.
pub fn model_table_in(stores: Vec<KvStoreProfile>) -> RoutingTable {
    table_with(vec![route(RequestKind::Streaming)], stores)
}

fn table_with(routes: Vec<Route>, stores: Vec<KvStoreProfile>) -> RoutingTable {
    let pool = PoolProfile {
        engine: Some(EngineProfile {
            slots: 32,
            kv_tokens: 100_000,
            kv_token_bytes: 100_000.0,
            link_megabits: 500_000.0,
            models: vec![MODEL.to_owned()],
        }),
        ..plain_pool()
    };
    let limits = CallerLimits::default();
    RoutingTable::new(1, routes, vec![pool], stores, Some(vec![tenant()]), limits)
}

fn plain_pool() -> PoolProfile {
    PoolProfile {
        name: PoolName::new(POOL),
        most_connections: 100,
        engine: None,
    }
}

/// A second table, whose tenant may use so many requests a second.
pub fn limited_table(per_second: f64) -> RoutingTable {
    let mut route = route(RequestKind::Safe);
    route.is_public = false;
    let limit = Limit {
        per_second,
        burst: 0.0,
    };
    let tenant = Tenant {
        rate_limit: Some(RateLimit {
            limit,
            unit: Unit::Requests,
        }),
        ..tenant()
    };
    let limits = CallerLimits::default();
    RoutingTable::new(
        2,
        vec![route],
        vec![plain_pool()],
        Vec::new(),
        Some(vec![tenant]),
        limits,
    )
}

pub fn tenant() -> Tenant {
    Tenant {
        name: TenantName::new("tenant-1"),
        keys: vec![KEY_OF_TENANT.to_owned()],
        priority: None,
        is_isolated: false,
        rate_limit: None,
    }
}

/// An engine with version `weights` of the model.
pub fn engine(name: &str, address: SocketAddr, weights: u64) -> EngineEntry {
    EngineEntry {
        name: BackEndName::new(name),
        pool: PoolName::new(POOL),
        address,
        zone: ZoneName::new(ZONE),
        slots: 8,
        state: EngineState::Ready,
        weights: BTreeMap::from([(MODEL.to_owned(), weights)]),
        orders_taken: 0,
        software: String::new(),
        cold_left: Duration::ZERO,
        incarnation: None,
    }
}
