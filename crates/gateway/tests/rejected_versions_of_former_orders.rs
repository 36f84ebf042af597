//! Versions that were rejected under former orders of a pool, after all nodes were killed at once; on a virtual clock.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::PoolName;
use ryerouter_core::release::{Outcome, Stage};
use ryerouter_gateway::catalogue::{CacheScope, CallerLimits, PoolProfile, RoutingTable};
use ryerouter_gateway::engines::EngineEntry;
use ryerouter_gateway::placement::PlacementRequest;
use support::gateway_bench::{configure, list_engines, run_paused};
use support::release_node::{ReleaseNode, engines};
use support::release_orders::ReleaseOrders;
use tokio::time::sleep;
use yare::parameterized;

const RAMP: Duration = Duration::from_secs(10);
const REQUESTS: usize = 400;
const POOL: &str = "a";
/// Versions that the nodes list are no longer on hold, and the orders have been read.
const SETTLED: Duration = Duration::from_secs(5);
/// A rejected version is remembered under so many later orders.
const LATER_ORDERS: usize = 6;

/// How many requests the engines of a version get.
fn requests_at(node: &ReleaseNode, version: &str) -> usize {
    let pool = PoolName::new(POOL);
    let profile = PoolProfile {
        name: pool.clone(),
        most_connections: 100,
        engine: None,
    };
    let limits = CallerLimits::default();
    let table = RoutingTable::new(2, Vec::new(), vec![profile], Vec::new(), None, limits);
    configure(&node.gateway, table);
    let placed = (0..REQUESTS).filter_map(|number| {
        node.gateway.choose(&PlacementRequest {
            id: &format!("r{number}"),
            pool: &pool,
            prompt: None,
            cache_scope: &CacheScope::default(),
            target_latency: Duration::from_millis(500),
            body_bytes: 10,
            tried: &[],
        })
    });
    placed.filter(|placed| placed.software == version).count()
}

/// A node directs an order of `v2` until it has been rolled back.
async fn roll_back(orders: &Rc<ReleaseOrders>) -> ReleaseNode {
    orders.order(POOL, "v2", RAMP);
    let node = ReleaseNode::start_holding("node-1", orders, 1);
    node.until_stage(POOL, Stage::Trial).await;
    node.fail_target(POOL);
    node.until_stage(POOL, Stage::RolledBack).await;
    until_recorded(orders, "v2", Outcome::RolledBack).await;
    node
}

async fn until_recorded(orders: &ReleaseOrders, target: &str, outcome: Outcome) {
    let is_recorded = || {
        let record = orders.record_of(POOL);
        record.is_some_and(|record| record.target == target && record.outcome == outcome)
    };
    while !is_recorded() {
        sleep(Duration::from_millis(50)).await;
    }
}

fn three_versions() -> Vec<EngineEntry> {
    engines(&["v1", "v2", "v3"])
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum NextOrder {
    /// Given while all nodes are down.
    WhileDown,
    /// All nodes are killed while it runs.
    Running,
    /// All nodes are killed after it was rolled back as well.
    RolledBack,
}

#[parameterized(
    while_down = { NextOrder::WhileDown },
    running = { NextOrder::Running },
    rolled_back = { NextOrder::RolledBack },
)]
fn version_rejected_under_a_former_order_is_taken_for_new(next: NextOrder) {
    run_paused(async move {
        let orders = Rc::new(ReleaseOrders::default());
        let node = roll_back(&orders).await;
        if next != NextOrder::WhileDown {
            orders.order(POOL, "v3", RAMP);
            list_engines(&node.gateway, three_versions());
            until_recorded(&orders, "v3", Outcome::Running).await;
        }
        if next == NextOrder::RolledBack {
            node.fail_target(POOL);
            until_recorded(&orders, "v3", Outcome::RolledBack).await;
        }
        node.kill();
        if next == NextOrder::WhileDown {
            orders.order(POOL, "v3", RAMP);
        }
        let second = ReleaseNode::start_holding("node-2", &orders, 2);
        list_engines(&second.gateway, three_versions());
        sleep(SETTLED).await;
        assert_eq!(requests_at(&second, "v2"), 0);
        assert!(requests_at(&second, "v1") > 0);
    });
}

#[test]
fn version_under_trial_when_all_were_killed_is_taken_for_proven_under_the_next_order() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order(POOL, "v2", RAMP);
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        until_recorded(&orders, "v2", Outcome::Running).await;
        node.kill();
        orders.order(POOL, "v3", RAMP);
        let second = ReleaseNode::start_holding("node-2", &orders, 2);
        list_engines(&second.gateway, three_versions());
        sleep(SETTLED).await;
        assert_eq!(requests_at(&second, "v2"), 0);
        assert!(requests_at(&second, "v1") > 0);
    });
}

/// The node that reads the orders tells another one that was started as well.
#[test]
fn version_rejected_under_a_former_order_is_taken_for_new_where_orders_are_heard_of() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        let node = roll_back(&orders).await;
        orders.order(POOL, "v3", RAMP);
        until_recorded(&orders, "v3", Outcome::Running).await;
        node.kill();
        let second = ReleaseNode::start_holding("node-2", &orders, 2);
        let silent = Rc::new(ReleaseOrders::default());
        silent.is_down.set(true);
        let third = ReleaseNode::start("node-3", &silent);
        list_engines(&third.gateway, three_versions());
        for _ in 0..SETTLED.as_millis() / 250 {
            let message = second.gateway.peer_message(true);
            third.gateway.receive_peer_message(message);
            sleep(Duration::from_millis(250)).await;
        }
        assert_eq!(requests_at(&third, "v2"), 0);
        assert!(requests_at(&third, "v1") > 0);
    });
}

#[test]
fn version_rejected_some_orders_ago_is_taken_for_new() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        let node = roll_back(&orders).await;
        for number in 0..LATER_ORDERS {
            let target = format!("v{}", 3 + number);
            orders.order(POOL, &target, RAMP);
            until_recorded(&orders, &target, Outcome::Running).await;
        }
        node.kill();
        let second = ReleaseNode::start_holding("node-2", &orders, 2);
        sleep(SETTLED).await;
        assert_eq!(requests_at(&second, "v2"), 0);
    });
}

/// The operator may order a rejected version again.
#[test]
fn version_that_is_ordered_again_gets_its_trial() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        let node = roll_back(&orders).await;
        orders.order(POOL, "v3", RAMP);
        until_recorded(&orders, "v3", Outcome::Running).await;
        orders.order(POOL, "v2", RAMP);
        until_recorded(&orders, "v2", Outcome::Running).await;
        node.kill();
        let second = ReleaseNode::start_holding("node-2", &orders, 2);
        list_engines(&second.gateway, three_versions());
        sleep(SETTLED).await;
        assert_eq!(second.stage(POOL), Some(Stage::Trial));
        assert!(requests_at(&second, "v2") > 0);
        assert_eq!(requests_at(&second, "v3"), 0);
    });
}

/// Its engines come back long after another version has been completed.
#[parameterized(
    nodes_live_on = { false },
    all_nodes_were_killed = { true },
)]
fn version_rejected_before_a_completed_release_is_taken_for_new(are_killed: bool) {
    run_paused(async move {
        let orders = Rc::new(ReleaseOrders::default());
        let mut node = roll_back(&orders).await;
        orders.order(POOL, "v3", RAMP);
        list_engines(&node.gateway, engines(&["v1", "v3"]));
        for _ in 0..REQUESTS {
            sleep(Duration::from_millis(50)).await;
            node.serve_target(POOL, 1);
        }
        until_recorded(&orders, "v3", Outcome::Completed).await;
        if are_killed {
            node.kill();
            node = ReleaseNode::start_holding("node-2", &orders, 2);
        }
        list_engines(&node.gateway, engines(&["v3"]));
        sleep(SETTLED).await;
        list_engines(&node.gateway, engines(&["v2", "v3"]));
        sleep(SETTLED).await;
        assert_eq!(requests_at(&node, "v2"), 0);
        assert!(requests_at(&node, "v3") > 0);
    });
}
