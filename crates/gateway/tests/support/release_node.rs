//! A node that directs releases, on a virtual clock.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::PoolName;
use ryerouter_core::release::{CountKey, Grant, Judgement, Settings, Stage};
use ryerouter_gateway::engines::EngineEntry;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::release::run_releases;
use ryerouter_gateway::source::FollowSettings;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};

use super::gateway_bench::{configure, gateway_with, list_engines, settings};
use super::records::{engine, table};
use super::release_orders::{OrdersWay, ReleaseOrders};

/// Engines of each version that a pool has.
const ENGINES: u16 = 6;
/// The versions: the present one and the targets.
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

/// A node that directs releases of the pools `a` and `b`.
pub struct ReleaseNode {
    pub gateway: Rc<Gateway>,
    task: JoinHandle<()>,
}

impl ReleaseNode {
    /// A node that is ready, has no lease and holds no grant.
    pub fn start(name: &str, orders: &Rc<ReleaseOrders>) -> Self {
        Self::start_with(name, orders, Some(bounds()))
    }

    /// The same with these bounds of releases, or without.
    pub fn start_with(name: &str, orders: &Rc<ReleaseOrders>, bounds: Option<Settings>) -> Self {
        let mut own = settings(name);
        own.releases = bounds;
        let gateway = gateway_with(own);
        configure(&gateway, table(1, Vec::new()));
        list_engines(&gateway, engines(&VERSIONS[..2]));
        let store = Rc::new(OrdersWay(Rc::clone(orders)));
        let how = FollowSettings {
            watch: Duration::from_secs(15),
            answer: Duration::from_millis(1_500),
            longest_pause: Duration::from_millis(600),
        };
        let task = spawn_local(run_releases(Rc::clone(&gateway), store, how));
        Self { gateway, task }
    }

    /// A node that holds the lease of orders from the start.
    pub fn start_holding(name: &str, orders: &Rc<ReleaseOrders>, fence: u64) -> Self {
        let node = Self::start(name, orders);
        node.hold(fence);
        node
    }

    /// The node holds the lease of orders from now on.
    pub fn hold(&self, fence: u64) {
        let until = self.gateway.clock().now().after(Duration::from_secs(3_600));
        let mut state = self.gateway.state_mut();
        state.gives_orders = true;
        state.order_fence = Some(fence);
        state.order_lease_until = Some(until);
    }

    /// It does not hold it any more.
    pub fn lose_lease(&self) {
        let mut state = self.gateway.state_mut();
        state.gives_orders = false;
        state.order_fence = None;
        state.order_lease_until = None;
    }

    /// The process is killed.
    pub fn kill(&self) {
        self.task.abort();
    }

    /// The newest grant of a pool, and its age.
    pub fn grant(&self, pool: &str) -> Option<(Grant, Duration)> {
        self.gateway.known_grant(&PoolName::new(pool))
    }

    /// The stage of a pool's release, as the node knows it.
    pub fn stage(&self, pool: &str) -> Option<Stage> {
        self.grant(pool).map(|(grant, _)| grant.stage)
    }

    /// Waits until a pool's release is at a stage; tells how long that took.
    pub async fn until_stage(&self, pool: &str, stage: Stage) -> Duration {
        let begin = Instant::now();
        while self.stage(pool) != Some(stage) {
            let waited = begin.elapsed();
            let now = self.grant(pool);
            assert!(waited < Duration::from_secs(120), "no {stage}: {now:?}");
            sleep(Duration::from_millis(10)).await;
        }
        begin.elapsed()
    }

    /// Every engine of a pool's target version fails once, and the present ones answer well.
    pub fn fail_target(&self, pool: &str) {
        let mut state = self.gateway.state_mut();
        let known = state.releases.of_mut(&PoolName::new(pool));
        let evidence = &mut known.expect("release").evidence;
        for number in 1..=u32::from(ENGINES) {
            let cell = CountKey {
                route: 1,
                engine: number,
            };
            evidence.note(cell, Judgement::Failed);
            evidence.note(CountKey::present(1), Judgement::Good);
        }
    }

    /// Every engine of a pool's target version, and one of the present one for each, answers well so often.
    pub fn serve_target(&self, pool: &str, times: u32) {
        let mut state = self.gateway.state_mut();
        let known = state.releases.of_mut(&PoolName::new(pool));
        let evidence = &mut known.expect("release").evidence;
        for number in 1..=u32::from(ENGINES) * times {
            let cell = CountKey {
                route: 1,
                engine: 1 + number % u32::from(ENGINES),
            };
            evidence.note(cell, Judgement::Good);
            evidence.note(CountKey::present(1), Judgement::Good);
        }
    }
}

/// Bounds of releases: grants last 2 s.
pub fn bounds() -> Settings {
    Settings {
        exposure_share: 0.1,
        exposure_slack: 50.0,
        rollback_within: Duration::from_secs(5),
    }
}

/// Engines of these versions in both pools.
pub fn engines(versions: &[&str]) -> Vec<EngineEntry> {
    let mut entries = Vec::new();
    for pool in ["a", "b"] {
        for version in versions {
            for number in 1..=ENGINES {
                let name = format!("{pool}-{version}-{number}");
                let address = SocketAddr::from(([127, 0, 0, 1], number));
                let mut entry = engine(&name, address, 1);
                entry.pool = PoolName::new(pool);
                entry.software = (*version).to_owned();
                entries.push(entry);
            }
        }
    }
    entries
}
