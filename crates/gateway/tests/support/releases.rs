//! A pool whose software moves from `v1` to `v2`.

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::{BackEndName, PoolName, ZoneName};
use ryerouter_core::release::{Grant, Order, RejectedVersions, Settings, Stage, Window};
use ryerouter_gateway::catalogue::{CacheScope, RequestKind};
use ryerouter_gateway::engines::EngineEntry;
use ryerouter_gateway::gateway::{Gateway, GatewaySettings};
use ryerouter_gateway::placement::{Placement, PlacementRequest};
use ryerouter_gateway::topology::Topology;

use super::gateway_bench::{configure, gateway_with, list_engines, settings};
use super::records::{POOL, ZONE, engine, route, table};

pub const PRESENT: &str = "v1";
pub const TARGET: &str = "v2";
pub const SHARE: f64 = 0.1;
pub const SLACK: f64 = 5.0;
pub const ROLLBACK_WITHIN: Duration = Duration::from_secs(5);

pub fn bounds() -> Settings {
    Settings {
        exposure_share: SHARE,
        exposure_slack: SLACK,
        rollback_within: ROLLBACK_WITHIN,
    }
}

pub fn pool() -> PoolName {
    PoolName::new(POOL)
}

pub fn order(target: &str, made: u64) -> Order {
    Order {
        pool: pool(),
        target: target.to_owned(),
        ramp: Duration::from_secs(12),
        made,
    }
}

/// A grant to all engines of the target version.
pub fn grant(stage: Stage, share: f64, number: u64) -> Grant {
    Grant {
        order: order(TARGET, 50),
        revision: 50,
        stage,
        share,
        window: None,
        fence: 1,
        number,
        elapsed: Duration::ZERO,
        rejected: RejectedVersions::default(),
    }
}

/// The same to some of its engines.
pub fn grant_of_window(share: f64, window: Window) -> Grant {
    Grant {
        window: Some(window),
        ..grant(Stage::Trial, share, 1)
    }
}

pub fn engine_of(name: &str, software: &str) -> EngineEntry {
    EngineEntry {
        software: software.to_owned(),
        ..engine(name, "127.0.0.1:1".parse().expect("address"), 1)
    }
}

/// Three engines of each version.
pub fn both_versions() -> Vec<EngineEntry> {
    let old = ["old-1", "old-2", "old-3"].map(|name| engine_of(name, PRESENT));
    let new = ["new-1", "new-2", "new-3"].map(|name| engine_of(name, TARGET));
    old.into_iter().chain(new).collect()
}

pub fn release_settings(name: &str) -> GatewaySettings {
    GatewaySettings {
        releases: Some(bounds()),
        ..settings(name)
    }
}

/// A node that knows engines of both versions for long, and that it knows all orders.
pub async fn node_with_orders(index: usize, zone: &str) -> Rc<Gateway> {
    let gateway = new_node(index, zone);
    gateway.state_mut().releases.knows_orders = true;
    list_engines(&gateway, both_versions());
    tokio::time::advance(Duration::from_secs(3)).await;
    gateway
}

/// A node that knows its configuration only.
pub fn new_node(index: usize, zone: &str) -> Rc<Gateway> {
    new_node_at(index, zone, Topology::default())
}

/// The same, which knows which zone lies in which region.
pub fn new_node_at(index: usize, zone: &str, topology: Topology) -> Rc<Gateway> {
    let mut own = release_settings(&format!("node-{index:02}"));
    own.identity.incarnation = index as u64 + 10;
    own.identity.zone = ZoneName::new(zone);
    own.topology = topology;
    let port = 10_000 + index;
    own.identity.peer_address = format!("127.0.0.1:{port}").parse().expect("address");
    let gateway = gateway_with(own);
    configure(&gateway, table(1, vec![route(RequestKind::Safe)]));
    gateway
}

pub async fn lone_node() -> Rc<Gateway> {
    node_with_orders(0, ZONE).await
}

/// Places a request that was sent to these engines before, and sends it.
pub fn place(gateway: &Gateway, id: &str, tried: &[&str]) -> Option<Placement> {
    let tried: Vec<_> = tried.iter().map(|name| BackEndName::new(*name)).collect();
    let placement = gateway.choose(&PlacementRequest {
        id,
        pool: &pool(),
        prompt: None,
        cache_scope: &CacheScope::default(),
        target_latency: Duration::from_millis(500),
        body_bytes: 10,
        tried: &tried,
    })?;
    gateway.note_sent(&pool(), &placement, tried.is_empty());
    Some(placement)
}

/// The versions that so many requests get.
pub fn versions_of(gateway: &Gateway, requests: usize) -> Vec<String> {
    let placed = (0..requests).filter_map(|number| place(gateway, &format!("r{number}"), &[]));
    let version = |placement: Placement| version_of(gateway, &placement.engine);
    placed.map(version).collect()
}

pub fn version_of(gateway: &Gateway, engine: &BackEndName) -> String {
    let state = gateway.state();
    let engine = state.engines.get(engine).expect("engine");
    engine.entry.software.clone()
}

pub fn count_of(versions: &[String], version: &str) -> usize {
    versions.iter().filter(|known| *known == version).count()
}
