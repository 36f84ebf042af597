//! A whole cluster of control states: it forms, spreads changes and drains back ends.

mod support;

use std::time::Duration;

use ryerouter_core::config::Expectation;
use ryerouter_core::control::ControlEvent;
use ryerouter_core::identity::Incarnation;
use support::{VirtualCluster, back_end, change, pool, put};

const DRAIN_LIMIT: Duration = Duration::from_secs(3);

fn with_back_end(zones: usize, nodes_per_zone: usize, seed: u64) -> VirtualCluster {
    let mut cluster = VirtualCluster::started(zones, nodes_per_zone, seed);
    cluster.run_seconds(5);
    let mutations = vec![
        put(pool("pool"), Expectation::Absent),
        put(back_end("engine-1", "pool", 8000), Expectation::Absent),
    ];
    let accepted = cluster.apply(0, change("create", mutations));
    assert!(accepted.is_ok(), "{accepted:?}");
    cluster.run_seconds(5);
    cluster
}

#[test]
fn a_cluster_forms_and_spreads_a_change() {
    let cluster = with_back_end(6, 5, 1);
    assert!(cluster.membership_is_right());
    assert!(cluster.all_serving());
    assert!(cluster.all_at(1));
}

#[test]
fn a_back_end_that_says_it_leaves_gets_no_new_work_anywhere_in_three_seconds() {
    let mut cluster = with_back_end(6, 5, 2);
    cluster.loss = 0.05;
    cluster.give(
        17,
        ControlEvent::BackEndObserved {
            back_end: "engine-1".into(),
            incarnation: Incarnation(7),
            draining: true,
        },
    );
    let spread = cluster.run_until(DRAIN_LIMIT, |cluster| cluster.all_refuse("engine-1"));
    assert!(spread.is_some());
}
