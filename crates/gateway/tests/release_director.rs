//! Directing releases, on a virtual clock: a source of orders that fails, and nodes with and without the lease.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::release::{Outcome, Stage};
use support::gateway_bench::run_paused;
use support::release_node::ReleaseNode;
use support::release_orders::{RecordFault, ReleaseOrders};
use tokio::time::{Instant, sleep};

const RAMP: Duration = Duration::from_secs(10);
/// Bounds of the tests let a grant last so long.
const GRANT_LIFE: Duration = Duration::from_secs(2);
/// Time in which a node that holds the lease has read the orders and told of them.
const STARTED: Duration = Duration::from_millis(1_000);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn recorded(orders: &ReleaseOrders, pool: &str) -> Option<(String, Outcome)> {
    let record = orders.record_of(pool)?;
    Some((record.target, record.outcome))
}

fn is(target: &str, outcome: Outcome) -> Option<(String, Outcome)> {
    Some((target.to_owned(), outcome))
}

#[test]
fn good_version_runs_through_its_stages_and_is_recorded() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        sleep(STARTED).await;
        assert!(node.gateway.state().releases.knows_orders);
        assert!(!node.gateway.has_release_work());
        orders.order("a", "v2", RAMP);
        node.until_stage("a", Stage::Trial).await;
        sleep(millis(200)).await;
        assert!(node.gateway.has_release_work());
        assert_eq!(recorded(&orders, "a"), is("v2", Outcome::Running));
        let taken = node.until_stage("a", Stage::Completed).await;
        assert!(taken < RAMP.mul_f64(1.1), "{taken:?}");
        assert_eq!(recorded(&orders, "a"), is("v2", Outcome::Completed));
        sleep(millis(200)).await;
        assert!(!node.gateway.has_release_work());
        let metrics = String::from_utf8(node.gateway.metrics().render()).expect("text");
        let settled = "release_stages_total{pool=\"a\",stage=\"settling\",version=\"v2\"} 1";
        assert!(metrics.contains(settled), "{metrics}");
        let history = orders.recorded.borrow();
        let outcomes: Vec<_> = history.iter().map(|(_, outcome)| *outcome).collect();
        assert_eq!(outcomes, [Outcome::Running, Outcome::Completed]);
    });
}

#[test]
fn grants_come_often_while_a_release_runs() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let node = ReleaseNode::start_holding("node-1", &orders, 7);
        node.until_stage("a", Stage::Trial).await;
        // The node has heard of the order before it directs the release.
        let begin = Instant::now();
        while node.grant("a").is_some_and(|(grant, _)| grant.fence == 0) {
            assert!(begin.elapsed() < Duration::from_secs(1));
            sleep(millis(10)).await;
        }
        let mut last = 0;
        for _ in 0..500 {
            let (grant, age) = node.grant("a").expect("grant");
            assert!(age <= millis(320), "{age:?}");
            assert!(grant.number >= last && grant.fence == 7);
            last = grant.number;
            sleep(millis(10)).await;
        }
    });
}

#[test]
fn completed_is_told_only_when_the_source_holds_it() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        node.until_stage("a", Stage::Settling).await;
        orders.is_down.set(true);
        for _ in 0..800 {
            sleep(millis(10)).await;
            let (grant, age) = node.grant("a").expect("grant");
            assert_eq!(grant.stage, Stage::Settling);
            assert!(age <= millis(320), "{age:?}");
        }
        orders.is_down.set(false);
        node.until_stage("a", Stage::Completed).await;
        assert_eq!(recorded(&orders, "a"), is("v2", Outcome::Completed));
    });
}

#[test]
fn bad_version_is_rolled_back_at_once_and_recorded_when_the_source_answers() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        node.until_stage("a", Stage::Trial).await;
        sleep(millis(500)).await;
        orders.is_down.set(true);
        for _ in 0..20 {
            node.fail_target("a");
            sleep(millis(100)).await;
        }
        assert_eq!(node.stage("a"), Some(Stage::RolledBack));
        assert_eq!(recorded(&orders, "a"), is("v2", Outcome::Running));
        assert!(node.gateway.has_release_work());
        orders.is_down.set(false);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(recorded(&orders, "a"), is("v2", Outcome::RolledBack));
        assert!(!node.gateway.has_release_work());
    });
}

#[test]
fn record_whose_answer_is_lost_is_read_and_not_written_again() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        node.until_stage("a", Stage::Settling).await;
        // The watch does not tell of it either.
        orders.is_silent.set(true);
        orders.fault.set(RecordFault::LostAnswer);
        orders.take_calls();
        node.until_stage("a", Stage::Completed).await;
        let calls = orders.take_calls();
        assert_eq!((calls.records, calls.reads), (1, 1));
    });
}

#[test]
fn conflict_leads_to_a_read_and_another_write() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        node.until_stage("a", Stage::Settling).await;
        // Something else changes the object, and the watch does not tell of it.
        orders.is_silent.set(true);
        sleep(millis(50)).await;
        orders.order("a", "v2", RAMP);
        orders.take_calls();
        node.until_stage("a", Stage::Completed).await;
        let calls = orders.take_calls();
        assert_eq!((calls.records, calls.reads), (2, 1));
        assert_eq!(recorded(&orders, "a"), is("v2", Outcome::Completed));
    });
}

#[test]
fn record_that_is_carried_out_late_changes_no_newer_order() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        node.until_stage("a", Stage::Settling).await;
        orders.fault.set(RecordFault::LateWrite(millis(1_300)));
        // Nothing runs at the present engines for long enough: the record is under way.
        sleep(millis(1_400)).await;
        assert_eq!(node.stage("a"), Some(Stage::Settling));
        orders.fault.set(RecordFault::None);
        let newer = orders.order("a", "v3", RAMP);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(recorded(&orders, "a"), is("v3", Outcome::Running));
        let (grant, _) = node.grant("a").expect("grant");
        assert_eq!((grant.order, grant.stage), (newer, Stage::Trial));
        let history = orders.recorded.borrow();
        assert!(!history.contains(&("v2".to_owned(), Outcome::Completed)));
    });
}

#[test]
fn pools_are_directed_apart_from_each_other() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        orders.order("b", "v2", RAMP);
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        node.until_stage("b", Stage::Trial).await;
        sleep(millis(500)).await;
        for _ in 0..20 {
            node.fail_target("a");
            sleep(millis(100)).await;
        }
        assert_eq!(node.stage("a"), Some(Stage::RolledBack));
        assert_eq!(node.stage("b"), Some(Stage::Trial));
        node.until_stage("b", Stage::Completed).await;
        assert_eq!(recorded(&orders, "a"), is("v2", Outcome::RolledBack));
        assert_eq!(recorded(&orders, "b"), is("v2", Outcome::Completed));
    });
}

#[test]
fn order_that_changes_is_a_release_of_its_own() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        node.until_stage("a", Stage::Trial).await;
        sleep(Duration::from_secs(4)).await;
        let newer = orders.order("a", "v3", RAMP);
        sleep(millis(300)).await;
        let (grant, _) = node.grant("a").expect("grant");
        assert_eq!((grant.order, grant.stage), (newer, Stage::Trial));
        assert!(grant.elapsed < millis(500), "{:?}", grant.elapsed);
        assert_eq!(recorded(&orders, "a"), is("v3", Outcome::Running));
    });
}

#[test]
fn changed_ramp_of_an_order_that_has_ended_is_tried_anew() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        node.until_stage("a", Stage::Completed).await;
        orders.order("a", "v2", RAMP * 2);
        sleep(millis(500)).await;
        assert_eq!(node.stage("a"), Some(Stage::Trial));
        assert_eq!(recorded(&orders, "a"), is("v2", Outcome::Running));
    });
}

#[test]
fn order_made_again_after_its_end_is_tried_anew() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        node.until_stage("a", Stage::Completed).await;
        orders.remove("a");
        orders.order("a", "v2", RAMP);
        sleep(millis(500)).await;
        assert_eq!(node.stage("a"), Some(Stage::Trial));
    });
}

#[test]
fn order_taken_back_before_its_end_is_withdrawn() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        node.until_stage("a", Stage::Trial).await;
        orders.remove("a");
        sleep(millis(300)).await;
        let (grant, _) = node.grant("a").expect("grant");
        assert_eq!(grant.stage, Stage::Withdrawn);
        assert!(grant.share.abs() < f64::EPSILON);
        sleep(millis(200)).await;
        assert!(!node.gateway.has_release_work());
    });
}

#[test]
fn order_taken_back_while_nobody_directed_is_withdrawn() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let first = ReleaseNode::start_holding("node-1", &orders, 1);
        first.until_stage("a", Stage::Trial).await;
        let (grant, _) = first.grant("a").expect("grant");
        first.kill();
        orders.remove("a");
        let second = ReleaseNode::start("node-2", &orders);
        second.gateway.apply_recorded_grant(grant);
        second.hold(2);
        second.until_stage("a", Stage::Withdrawn).await;
    });
}

#[test]
fn end_that_was_recorded_before_a_node_started_is_told() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        let order = orders.order("a", "v2", RAMP);
        orders.write("a", Outcome::RolledBack);
        let node = ReleaseNode::start("node-1", &orders);
        let taken = node.until_stage("a", Stage::RolledBack).await;
        assert!(taken < Duration::from_secs(5), "{taken:?}");
        let (grant, _) = node.grant("a").expect("grant");
        assert_eq!(grant.order, order);
        assert!(!node.gateway.has_release_work());
        sleep(Duration::from_secs(5)).await;
        let (_, age) = node.grant("a").expect("grant");
        assert!(age > Duration::from_secs(4), "told once: {age:?}");
        assert_eq!(orders.take_calls().records, 0);
    });
}

#[test]
fn completed_release_whose_engines_were_replaced_is_not_told() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v0", RAMP);
        orders.write("a", Outcome::Completed);
        let node = ReleaseNode::start("node-1", &orders);
        sleep(Duration::from_secs(10)).await;
        assert!(node.gateway.state().releases.knows_orders);
        assert_eq!(node.stage("a"), None);
    });
}

#[test]
fn next_holder_goes_on_where_a_killed_one_stood() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        let order = orders.order("a", "v2", RAMP);
        let first = ReleaseNode::start_holding("node-1", &orders, 1);
        first.until_stage("a", Stage::Trial).await;
        sleep(Duration::from_secs(4)).await;
        let (grant, _) = first.grant("a").expect("grant");
        first.kill();
        let second = ReleaseNode::start("node-2", &orders);
        second.gateway.apply_recorded_grant(grant);
        sleep(Duration::from_secs(3)).await;
        second.hold(2);
        sleep(STARTED).await;
        let (grant, age) = second.grant("a").expect("grant");
        assert_eq!((grant.order, grant.fence), (order, 2));
        assert!(age < millis(400), "{age:?}");
        let elapsed = grant.elapsed;
        assert!(elapsed > Duration::from_secs(7), "{elapsed:?}");
        second.until_stage("a", Stage::Completed).await;
        assert_eq!(recorded(&orders, "a"), is("v2", Outcome::Completed));
    });
}

#[test]
fn verdict_of_a_killed_holder_is_recorded_by_the_next() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let first = ReleaseNode::start_holding("node-1", &orders, 1);
        first.until_stage("a", Stage::Trial).await;
        sleep(millis(500)).await;
        orders.is_down.set(true);
        for _ in 0..20 {
            first.fail_target("a");
            sleep(millis(100)).await;
        }
        let (grant, _) = first.grant("a").expect("grant");
        assert_eq!(grant.stage, Stage::RolledBack);
        first.kill();
        orders.is_down.set(false);
        let second = ReleaseNode::start("node-2", &orders);
        second.gateway.apply_recorded_grant(grant);
        second.hold(2);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(recorded(&orders, "a"), is("v2", Outcome::RolledBack));
        assert_eq!(second.stage("a"), Some(Stage::RolledBack));
        assert!(!second.gateway.has_release_work());
    });
}

/// The operator has stopped the present engines: nobody else can serve.
#[test]
fn late_record_of_completion_wins_over_a_verdict_that_was_not_recorded() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let node = ReleaseNode::start_holding("node-1", &orders, 2);
        node.until_stage("a", Stage::Trial).await;
        orders.is_down.set(true);
        for _ in 0..20 {
            node.fail_target("a");
            sleep(millis(100)).await;
        }
        assert_eq!(node.stage("a"), Some(Stage::RolledBack));
        orders.write("a", Outcome::Completed);
        orders.is_down.set(false);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(recorded(&orders, "a"), is("v2", Outcome::Completed));
        assert_eq!(node.stage("a"), Some(Stage::Completed));
    });
}

#[test]
fn next_holder_goes_by_what_it_held_against_the_version_before() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let first = ReleaseNode::start_holding("node-1", &orders, 1);
        first.until_stage("a", Stage::Trial).await;
        let (grant, _) = first.grant("a").expect("grant");
        first.kill();
        let second = ReleaseNode::start("node-2", &orders);
        second.gateway.apply_recorded_grant(grant);
        // A quarter of the answers fails, so that the node sends nothing more there and sees nothing new.
        for _ in 0..25 {
            second.fail_target("a");
            second.serve_target("a", 3);
            second.gateway.refresh_releases();
            sleep(millis(300)).await;
        }
        second.hold(2);
        sleep(STARTED).await;
        assert_eq!(second.stage("a"), Some(Stage::RolledBack));
        assert_eq!(recorded(&orders, "a"), is("v2", Outcome::RolledBack));
    });
}

#[test]
fn next_holder_sees_fresh_answers_before_requests_move() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let first = ReleaseNode::start_holding("node-1", &orders, 1);
        first.until_stage("a", Stage::Trial).await;
        sleep(millis(5_500)).await;
        let (grant, _) = first.grant("a").expect("grant");
        first.kill();
        let second = ReleaseNode::start("node-2", &orders);
        second.gateway.apply_recorded_grant(grant);
        // The version got nothing in the meantime. Now its answers are bad, and news of them take a while.
        sleep(Duration::from_secs(3)).await;
        second.hold(2);
        sleep(STARTED).await;
        for _ in 0..30 {
            sleep(millis(100)).await;
            assert!(matches!(
                second.stage("a"),
                Some(Stage::Trial | Stage::RolledBack)
            ));
            second.fail_target("a");
        }
        assert_eq!(second.stage("a"), Some(Stage::RolledBack));
    });
}

#[test]
fn late_record_of_a_killed_holder_does_not_end_what_the_next_one_tries() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let first = ReleaseNode::start_holding("node-1", &orders, 1);
        first.until_stage("a", Stage::Settling).await;
        orders
            .fault
            .set(RecordFault::LateWrite(Duration::from_secs(2)));
        sleep(millis(1_400)).await;
        let (grant, _) = first.grant("a").expect("grant");
        first.kill();
        orders.fault.set(RecordFault::None);
        let second = ReleaseNode::start("node-2", &orders);
        second.gateway.apply_recorded_grant(grant);
        second.hold(2);
        sleep(STARTED).await;
        assert_eq!(second.stage("a"), Some(Stage::Trial));
        orders.recorded.borrow_mut().clear();
        sleep(millis(1_200)).await;
        // Only what the second one writes itself, once it has come so far again.
        assert!(orders.recorded.borrow().is_empty());
        assert_ne!(second.stage("a"), Some(Stage::Completed));
        second.until_stage("a", Stage::Completed).await;
        assert_eq!(orders.recorded.borrow().len(), 1);
    });
}

#[test]
fn nothing_is_granted_without_the_lease() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        node.until_stage("a", Stage::Trial).await;
        node.lose_lease();
        sleep(Duration::from_secs(5)).await;
        let (grant, age) = node.grant("a").expect("grant");
        assert!(age > GRANT_LIFE, "{age:?}");
        assert!(!grant.stage.is_final());
    });
}

/// Until the lease is taken the engines of the target version would else be taken for ones that nobody ordered.
#[test]
fn order_closes_its_version_before_the_lease_is_taken() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        let node = ReleaseNode::start("node-1", &orders);
        node.gateway.state_mut().is_source_reachable = true;
        sleep(Duration::from_secs(5)).await;
        assert!(node.gateway.state().releases.knows_orders);
        orders.order("a", "v2", RAMP);
        sleep(STARTED).await;
        let (grant, _) = node.grant("a").expect("grant");
        assert_eq!((grant.stage, grant.fence), (Stage::Trial, 0));
        assert!(grant.share.abs() < f64::EPSILON);
        assert_eq!(recorded(&orders, "a"), None);
        sleep(Duration::from_secs(4)).await;
        node.hold(1);
        sleep(STARTED).await;
        let (grant, age) = node.grant("a").expect("grant");
        assert_eq!(grant.fence, 1);
        assert!(age < millis(400), "{age:?}");
        assert!(grant.elapsed >= Duration::from_secs(5));
    });
}

#[test]
fn nothing_is_granted_by_a_lease_that_has_run_out_unseen() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        node.until_stage("a", Stage::Trial).await;
        // Nothing has looked at the lease since, as after a pause of the process.
        node.gateway.state_mut().order_lease_until = Some(node.gateway.clock().now());
        sleep(Duration::from_secs(3)).await;
        let (_, age) = node.grant("a").expect("grant");
        assert!(age > GRANT_LIFE, "{age:?}");
    });
}

#[test]
fn node_that_leaves_grants_nothing_more() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        orders.order("a", "v2", RAMP);
        let node = ReleaseNode::start_holding("node-1", &orders, 1);
        node.until_stage("a", Stage::Trial).await;
        let (before, _) = node.grant("a").expect("grant");
        node.gateway.leave();
        sleep(Duration::from_secs(3)).await;
        let (after, _) = node.grant("a").expect("grant");
        assert_eq!(after, before);
    });
}
