//! Who asks the source for orders of releases, and how often, on a virtual clock.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::release::{Grant, Outcome, RejectedVersions, Stage};
use ryerouter_gateway::release::Orders;
use ryerouter_gateway::source::{OrderedRelease, ReleaseBatch, ReleaseChange, ReleaseList};
use support::gateway_bench::{list_engines, run_paused};
use support::release_node::{ReleaseNode, engines};
use support::release_orders::ReleaseOrders;
use tokio::time::sleep;

const RAMP: Duration = Duration::from_secs(10);
/// After this time a node that was just started knows the others, and the first reads the orders.
const SETTLED: Duration = Duration::from_secs(5);

/// A node that hears another one with the lease of orders, so that it follows nothing.
async fn hear_holder(node: &ReleaseNode, holder: &ReleaseNode, time: Duration) {
    for _ in 0..time.as_millis() / 250 {
        node.gateway
            .receive_peer_message(holder.gateway.peer_message(true));
        sleep(Duration::from_millis(250)).await;
    }
}

fn granted(order: &ryerouter_core::release::Order, revision: u64) -> Grant {
    Grant {
        order: order.clone(),
        revision,
        stage: Stage::Trial,
        share: 0.1,
        window: None,
        fence: 1,
        number: 1,
        elapsed: Duration::ZERO,
        rejected: RejectedVersions::default(),
    }
}

#[test]
fn nothing_is_asked_where_there_are_no_bounds() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let node = ReleaseNode::start_with("node-1", &orders, None);
        node.hold(1);
        sleep(Duration::from_secs(60)).await;
        assert_eq!(orders.take_calls().all(), 0);
        assert_eq!(node.stage("a"), None);
    });
}

#[test]
fn quiet_minute_costs_a_watch_each_quarter() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        let node = ReleaseNode::start("node-1", &orders);
        list_engines(&node.gateway, engines(&["v1"]));
        sleep(SETTLED).await;
        assert_eq!(orders.take_calls().lists, 1);
        sleep(Duration::from_secs(60)).await;
        let calls = orders.take_calls();
        assert!(
            calls.all() <= 5 && calls.all() == calls.watches,
            "{calls:?}"
        );
    });
}

#[test]
fn node_that_hears_the_holder_of_the_lease_asks_nothing() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        let holder = ReleaseNode::start_with("node-0", &orders, None);
        holder.hold(1);
        holder.gateway.note_orders_known();
        let node = ReleaseNode::start("node-1", &orders);
        hear_holder(&node, &holder, Duration::from_secs(60)).await;
        assert_eq!(orders.take_calls().all(), 0);
    });
}

#[test]
fn quiet_minute_after_a_release_costs_no_more() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        node.until_stage("a", Stage::Completed).await;
        let calls = orders.take_calls();
        assert!(calls.all() <= 8 && calls.records == 2, "{calls:?}");
        sleep(Duration::from_secs(60)).await;
        let calls = orders.take_calls();
        assert!(
            calls.all() <= 6 && calls.all() == calls.watches,
            "{calls:?}"
        );
    });
}

#[test]
fn node_that_is_no_candidate_for_a_moment_goes_on_with_its_watch() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        let node = ReleaseNode::start("node-1", &orders);
        sleep(SETTLED).await;
        orders.take_calls();
        node.gateway.state_mut().is_source_reachable = false;
        sleep(Duration::from_millis(600)).await;
        node.gateway.state_mut().is_source_reachable = true;
        sleep(Duration::from_secs(5)).await;
        assert_eq!(orders.take_calls().all(), 0);
    });
}

#[test]
fn node_that_is_replaced_follows_no_longer_and_needs_no_lease() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let node = ReleaseNode::start("node-1", &orders);
        sleep(SETTLED).await;
        assert!(node.gateway.has_release_work());
        // The holder directs the same order, and only the node's own calls are counted.
        let orders_of_holder = Rc::new(ReleaseOrders::default());
        orders_of_holder.order("a", "v2", RAMP);
        let holder = ReleaseNode::start_holding("node-0", &orders_of_holder, 1);
        hear_holder(&node, &holder, Duration::from_secs(2)).await;
        assert!(!node.gateway.has_release_work());
        orders.take_calls();
        hear_holder(&node, &holder, Duration::from_secs(40)).await;
        assert_eq!(orders.take_calls().all(), 0);
    });
}

#[test]
fn source_that_is_down_is_asked_at_intervals_and_found_again() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        sleep(SETTLED).await;
        orders.is_down.set(true);
        // Long enough for the open watch to end.
        sleep(Duration::from_secs(20)).await;
        orders.take_calls();
        sleep(Duration::from_secs(10)).await;
        let calls = orders.take_calls();
        assert!((10..40).contains(&calls.all()), "{calls:?}");
        orders.order("a", "v2", RAMP);
        orders.is_down.set(false);
        let taken = node.until_stage("a", Stage::Trial).await;
        assert!(taken < Duration::from_secs(1), "{taken:?}");
    });
}

#[test]
fn history_that_is_gone_leads_to_a_list() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        sleep(SETTLED).await;
        orders.take_calls();
        orders.order("a", "v2", RAMP);
        orders.remove("a");
        orders.order("b", "v2", RAMP);
        orders.oldest.set(2);
        let taken = node.until_stage("b", Stage::Trial).await;
        assert!(taken < Duration::from_secs(1), "{taken:?}");
        assert_eq!(orders.take_calls().lists, 1);
        assert_eq!(node.stage("a"), None);
    });
}

#[test]
fn watch_that_has_fallen_silent_is_given_up() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.is_silent.set(true);
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        sleep(SETTLED).await;
        orders.order("a", "v2", RAMP);
        let taken = node.until_stage("a", Stage::Trial).await;
        assert!(taken < Duration::from_secs(17), "{taken:?}");
    });
}

#[test]
fn engines_of_a_new_version_tell_of_an_order_that_a_silent_watch_has_not() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.is_silent.set(true);
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        sleep(SETTLED).await;
        let order = orders.order("a", "v3", RAMP);
        list_engines(&node.gateway, engines(&["v1", "v2", "v3"]));
        let taken = node.until_stage("a", Stage::Trial).await;
        assert!(taken < Duration::from_secs(1), "{taken:?}");
        let (grant, _) = node.grant("a").expect("grant");
        assert_eq!(grant.order, order);
        let before = orders.take_calls();
        assert!(before.watches <= 3, "{before:?}");
    });
}

#[test]
fn node_whose_grant_has_run_out_reads_the_record_until_the_end() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        let order = orders.order("a", "v2", RAMP);
        orders.write("a", Outcome::Running);
        let holder = ReleaseNode::start_with("node-0", &orders, None);
        holder.hold(1);
        holder.gateway.note_orders_known();
        let node = ReleaseNode::start("node-1", &orders);
        node.gateway.apply_recorded_grant(granted(&order, 2));
        hear_holder(&node, &holder, Duration::from_secs(2)).await;
        assert_eq!(orders.take_calls().all(), 0);
        hear_holder(&node, &holder, Duration::from_secs(20)).await;
        let calls = orders.take_calls();
        assert!((12..=20).contains(&calls.reads), "{calls:?}");
        assert_eq!(calls.all(), calls.reads);
        assert_eq!(node.stage("a"), Some(Stage::Trial));
        orders.write("a", Outcome::Completed);
        hear_holder(&node, &holder, Duration::from_secs(2)).await;
        assert_eq!(node.stage("a"), Some(Stage::Completed));
        orders.take_calls();
        hear_holder(&node, &holder, Duration::from_secs(20)).await;
        assert_eq!(orders.take_calls().all(), 0);
    });
}

#[test]
fn node_whose_grant_has_run_out_learns_that_the_order_was_taken_back() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        let order = orders.order("a", "v2", RAMP);
        orders.remove("a");
        let holder = ReleaseNode::start_with("node-0", &orders, None);
        holder.hold(1);
        let node = ReleaseNode::start("node-1", &orders);
        node.gateway.apply_recorded_grant(granted(&order, 1));
        hear_holder(&node, &holder, Duration::from_secs(5)).await;
        assert_eq!(node.stage("a"), Some(Stage::Withdrawn));
    });
}

#[test]
fn node_whose_grant_has_run_out_goes_by_a_newer_order() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        let order = orders.order("a", "v2", RAMP);
        let newer = orders.order("a", "v3", RAMP);
        let holder = ReleaseNode::start_with("node-0", &orders, None);
        holder.hold(1);
        let node = ReleaseNode::start("node-1", &orders);
        node.gateway.apply_recorded_grant(granted(&order, 1));
        hear_holder(&node, &holder, Duration::from_secs(5)).await;
        let (grant, _) = node.grant("a").expect("grant");
        assert_eq!((grant.order, grant.stage), (newer.clone(), Stage::Trial));
        assert!(grant.share.abs() < f64::EPSILON);
        // Any grant of its director comes after it.
        assert!(granted(&newer, 2).supersedes(&node.grant("a").expect("grant").0));
    });
}

fn release(target: &str, revision: u64) -> OrderedRelease {
    OrderedRelease {
        order: ryerouter_core::release::Order {
            pool: "a".into(),
            target: target.to_owned(),
            ramp: RAMP,
            made: 1,
        },
        revision,
        record: None,
    }
}

#[test]
fn order_that_is_gone_does_not_come_back_with_a_late_answer() {
    let mut orders = Orders::default();
    orders.apply_list(ReleaseList {
        releases: vec![release("v2", 5)],
        revision: 6,
    });
    orders.apply_batch(ReleaseBatch {
        changes: vec![ReleaseChange::Gone("a".into())],
        revision: 9,
    });
    orders.apply_recorded(release("v2", 8));
    orders.apply_read(&"a".into(), 5, Some(release("v2", 5)));
    assert!(orders.of(&"a".into()).is_none());
    orders.apply_read(&"a".into(), 5, Some(release("v2", 10)));
    assert!(orders.of(&"a".into()).is_some());
}

#[test]
fn older_news_of_an_order_change_nothing() {
    let mut orders = Orders::default();
    orders.apply_list(ReleaseList {
        releases: vec![release("v2", 5)],
        revision: 6,
    });
    orders.apply_recorded(release("v3", 9));
    orders.apply_batch(ReleaseBatch {
        changes: vec![
            ReleaseChange::Ordered(release("v2", 7)),
            ReleaseChange::Gone("a".into()),
        ],
        revision: 8,
    });
    let known = orders.of(&"a".into()).expect("order");
    assert_eq!(known.release, release("v3", 9));
}

#[test]
fn node_that_was_just_started_reads_the_orders_when_engines_have_several_versions() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let node = ReleaseNode::start("node-1", &orders);
        // Another node is the candidate for the lease, and tells this one nothing.
        node.gateway.state_mut().is_source_reachable = false;
        sleep(Duration::from_millis(1_500)).await;
        let (grant, _) = node.grant("a").expect("grant");
        assert_eq!((grant.stage, grant.share), (Stage::Trial, 0.0));
        assert_eq!(orders.take_calls().lists, 1);
        assert!(node.gateway.state().releases.knows_orders);
    });
}

#[test]
fn node_that_was_just_started_reads_nothing_when_engines_have_one_version() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        let node = ReleaseNode::start("node-1", &orders);
        list_engines(&node.gateway, engines(&["v1"]));
        node.gateway.state_mut().is_source_reachable = false;
        sleep(Duration::from_secs(10)).await;
        assert_eq!(orders.take_calls().all(), 0);
    });
}
