//! Where hollow nodes stand and what they serve.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use ryerouter_core::catalog::{
    ApiKeyHash, BackEnd, BackEndState, Catalog, Pool, PoolKind, Tenant, TenantLimits,
};
use ryerouter_core::config::Checkpoint;
use ryerouter_core::control::ControlSettings;
use ryerouter_core::identity::{
    BackEndName, ConfigVersion, Incarnation, PoolName, ResourceVersion, TenantName, WeightsVersion,
};

/// Zones in all.
pub const ZONES: usize = 11;
/// Regions of the zones.
const ZONE_REGIONS: [usize; ZONES] = [0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 2];
/// Tenants in steady use.
pub const TENANTS: usize = 460;
/// Models in steady use.
const MODELS: usize = 4;
const SEEDS: usize = 2 * ZONES;
const PORT: u16 = 7_000;

/// The zone of a node; nodes take turns over zones.
pub fn zone_of(node: usize) -> usize {
    node % ZONES
}

/// The address of a node.
pub fn address_of(node: usize) -> SocketAddr {
    ([10, 0, (node / 250) as u8, (node % 250) as u8], PORT).into()
}

/// The node with an address.
pub fn node_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let octets = address.ip().octets();
    Some(usize::from(octets[2]) * 250 + usize::from(octets[3]))
}

/// Settings of a node that starts at `now_millis`.
pub fn settings(node: usize, nodes: usize, now_millis: u64, seed: u64) -> ControlSettings {
    let zone = zone_of(node);
    let region = ZONE_REGIONS[zone];
    ControlSettings {
        name: format!("router-{node:04}").as_str().into(),
        incarnation: Incarnation(now_millis),
        address: address_of(node),
        region: format!("region-{region}").as_str().into(),
        data_centre: format!("dc-{region}").as_str().into(),
        zone: format!("zone-{zone:02}").as_str().into(),
        seeds: (0..SEEDS.min(nodes)).map(address_of).collect(),
        may_direct: true,
        seed: seed ^ (node as u64) << 32 ^ now_millis,
    }
}

/// One-way delay between two nodes.
pub fn delay(from: usize, to: usize, random: &mut ChaCha8Rng) -> Duration {
    let (from, to) = (zone_of(from), zone_of(to));
    let micros = if from == to {
        random.random_range(150..600)
    } else if ZONE_REGIONS[from] == ZONE_REGIONS[to] {
        random.random_range(800..2_000)
    } else {
        random.random_range(20_000..50_000)
    };
    Duration::from_micros(micros)
}

/// The configuration of the whole deployment at version 1.
pub fn checkpoint(engines: usize) -> Checkpoint {
    let mut catalog = Catalog {
        version: ConfigVersion(1),
        ..Catalog::default()
    };
    for index in 0..TENANTS {
        let tenant = tenant(index, 1);
        catalog.tenants.insert(tenant.name.clone(), tenant);
    }
    for index in 0..MODELS {
        let pool = pool(index);
        catalog.pools.insert(pool.name.clone(), pool);
    }
    for index in 0..engines {
        let engine = engine(index, BackEndState::Active);
        catalog.back_ends.insert(engine.name.clone(), engine);
    }
    Checkpoint {
        catalog,
        recent: Vec::new(),
    }
}

/// The name of an engine.
pub fn engine_name(index: usize) -> BackEndName {
    format!("engine-{index:05}").as_str().into()
}

/// An engine.
pub fn engine(index: usize, state: BackEndState) -> BackEnd {
    let zone = index % ZONES;
    BackEnd {
        name: engine_name(index),
        pool: pool_name(index % MODELS),
        address: ([10, 8, (index / 250) as u8, (index % 250) as u8], 8_000).into(),
        data_centre: format!("dc-{}", ZONE_REGIONS[zone]).as_str().into(),
        zone: format!("zone-{zone:02}").as_str().into(),
        state,
        version: ResourceVersion(1),
    }
}

/// The name of a tenant.
pub fn tenant_name(index: usize) -> TenantName {
    format!("tenant-{index:03}").as_str().into()
}

/// A tenant.
pub fn tenant(index: usize, weight: u32) -> Tenant {
    Tenant {
        name: tenant_name(index),
        api_key_hashes: vec![ApiKeyHash(format!("{index:064x}"))],
        weight,
        limits: TenantLimits {
            requests_per_second: Some(1_000),
            tokens_per_second: Some(2_000_000),
            concurrent_streams: Some(10_000),
        },
        version: ResourceVersion(1),
    }
}

fn pool(index: usize) -> Pool {
    Pool {
        name: pool_name(index),
        kind: PoolKind::Model {
            model: format!("model-{index}").as_str().into(),
            weights_version: WeightsVersion(1),
            adapters: Vec::new(),
            weight_loads_at_once: 3,
        },
        kv_store: None,
        version: ResourceVersion(1),
    }
}

fn pool_name(index: usize) -> PoolName {
    format!("pool-{index}").as_str().into()
}
