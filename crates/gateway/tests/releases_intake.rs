//! Which engines take which requests while a pool's software moves.

mod support;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::{BackEndName, Incarnation};
use ryerouter_core::release::{Grant, Stage, Window};
use ryerouter_gateway::engines::{EngineEntry, EngineState};
use ryerouter_gateway::gateway::Gateway;
use support::gateway_bench::{configure, gateway, list_engines, run_paused};
use support::records::{ZONE, table};
use support::releases::{
    PRESENT, ROLLBACK_WITHIN, SHARE, SLACK, TARGET, both_versions, count_of, engine_of, grant,
    grant_of_window, lone_node, new_node, node_with_orders, order, place, release_settings,
    version_of, versions_of,
};
use tokio::time::advance;
use yare::parameterized;

const REQUESTS: usize = 400;

fn all(version: &str) -> Vec<String> {
    vec![version.to_owned(); REQUESTS]
}

/// No message passes between the nodes after the grant, and each would send half of its requests there.
#[test]
fn target_version_gets_its_share_over_all_nodes_though_nobody_talks() {
    run_paused(async {
        let nodes = 8;
        let mut sent = 0;
        for index in 0..nodes {
            let node = node_with_orders(index, ZONE).await;
            // They have heard of each other before.
            let others = (0..nodes).filter(|other| *other != index);
            for other in others {
                node.receive_peer_message(new_node(other, ZONE).peer_message(false));
            }
            node.publish_grant(grant(Stage::Trial, 0.5, 1));
            sent += count_of(&versions_of(&node, REQUESTS), TARGET);
        }
        let most = SHARE * (nodes * REQUESTS) as f64 + SLACK;
        assert!(sent as f64 <= most, "{sent} of at most {most}");
        assert!(
            sent as f64 >= most * 0.7,
            "{sent} of {most} is too few to judge by"
        );
    });
}

#[test]
fn trial_goes_to_the_engines_of_the_window_and_nowhere_else() {
    run_paused(async {
        let node = lone_node().await;
        node.publish_grant(grant_of_window(0.5, Window { first: 1, count: 1 }));
        let placed = (0..REQUESTS).filter_map(|number| place(&node, &format!("r{number}"), &[]));
        let engines: BTreeSet<_> = placed.map(|placement| placement.engine).collect();
        let is_target = |name: &&BackEndName| version_of(&node, name) == TARGET;
        assert_eq!(engines.iter().filter(is_target).count(), 1);
        assert_eq!(engines.len(), 1 + 3);
    });
}

#[test]
fn share_of_the_shift_is_not_bounded_by_the_account() {
    run_paused(async {
        let node = lone_node().await;
        node.publish_grant(grant(Stage::Shifting, 0.6, 1));
        let share = count_of(&versions_of(&node, REQUESTS), TARGET) as f64 / REQUESTS as f64;
        assert!((0.5..0.7).contains(&share), "{share}");
    });
}

#[parameterized(
    trial = { Stage::Trial, true },
    shifting = { Stage::Shifting, true },
    settling = { Stage::Settling, true },
    completed = { Stage::Completed, false },
    rolled_back = { Stage::RolledBack, false },
    withdrawn = { Stage::Withdrawn, false },
)]
fn node_that_hears_no_director_sends_nothing_to_the_target(stage: Stage, ends: bool) {
    run_paused(async move {
        let node = lone_node().await;
        node.publish_grant(grant(stage, 1.0, 1));
        let before = count_of(&versions_of(&node, REQUESTS), TARGET);
        advance(ROLLBACK_WITHIN.mul_f64(0.5)).await;
        let after = count_of(&versions_of(&node, REQUESTS), TARGET);
        match ends {
            true => assert!(before > 0 && after == 0, "{before}, {after}"),
            false => assert_eq!(before, after),
        }
    });
}

#[parameterized(
    settling = { Stage::Settling, TARGET },
    completed = { Stage::Completed, TARGET },
    rolled_back = { Stage::RolledBack, PRESENT },
    withdrawn = { Stage::Withdrawn, PRESENT },
)]
fn late_stages_send_all_requests_one_way(stage: Stage, expected: &'static str) {
    run_paused(async move {
        let node = lone_node().await;
        node.publish_grant(grant(stage, 1.0, 1));
        assert_eq!(versions_of(&node, REQUESTS), all(expected));
    });
}

#[parameterized(
    trial = { Stage::Trial, Some(PRESENT) },
    shifting = { Stage::Shifting, Some(PRESENT) },
    settling = { Stage::Settling, Some(PRESENT) },
    completed = { Stage::Completed, None },
)]
fn without_able_engines_of_the_target_the_present_ones_serve_until_they_may_stop(
    stage: Stage,
    expected: Option<&'static str>,
) {
    run_paused(async move {
        let node = lone_node().await;
        node.publish_grant(grant(stage, 1.0, 1));
        let now = node.clock().now();
        for name in ["new-1", "new-2", "new-3"] {
            let mut state = node.state_mut();
            let engine = state.engines.get_mut(&BackEndName::new(name)).unwrap();
            engine.note_loading("model", 9, now.after(Duration::from_secs(60)));
        }
        let placed = place(&node, "r1", &[]);
        let version = placed.map(|placement| version_of(&node, &placement.engine));
        assert_eq!(version.as_deref(), expected);
    });
}

#[parameterized(
    trial = { Stage::Trial, PRESENT },
    shifting = { Stage::Shifting, PRESENT },
    settling = { Stage::Settling, TARGET },
)]
fn request_that_failed_at_the_target_goes_to_the_present_version(
    stage: Stage,
    expected: &'static str,
) {
    run_paused(async move {
        let node = lone_node().await;
        node.publish_grant(grant(stage, 1.0, 1));
        let first = place(&node, "r1", &[]).unwrap();
        assert_eq!(version_of(&node, &first.engine), TARGET);
        let second = place(&node, "r1", &[first.engine.as_str()]).unwrap();
        assert_eq!(version_of(&node, &second.engine), expected);
    });
}

/// The second version stays out of use beside a third one.
#[parameterized(
    rolled_back = { Stage::RolledBack },
    still_under_trial = { Stage::Trial },
)]
fn version_that_was_not_proven_stays_out_of_use_under_the_next_order(stage: Stage) {
    run_paused(async move {
        let node = lone_node().await;
        node.publish_grant(grant(stage, 0.0, 1));
        let mut entries = both_versions();
        entries.push(engine_of("newest-1", "v3"));
        list_engines(&node, entries);
        advance(Duration::from_secs(3)).await;
        let next = Grant {
            order: order("v3", 60),
            revision: 60,
            ..grant(Stage::Shifting, 0.5, 1)
        };
        node.publish_grant(next);
        let versions = versions_of(&node, REQUESTS);
        assert_eq!(count_of(&versions, TARGET), 0);
        assert!(count_of(&versions, "v3") > 0);
        // Its engines bear nothing, so that those of the third one need not replace them.
        assert_eq!(node.release_fleet(&order("v3", 60)).present, 3);
    });
}

#[test]
fn grant_that_arrives_after_a_verdict_changes_nothing() {
    run_paused(async {
        let (director, node) = (lone_node().await, node_with_orders(1, ZONE).await);
        director.publish_grant(grant(Stage::Trial, 1.0, 7));
        let late = director.peer_message(false);
        director.publish_grant(grant(Stage::RolledBack, 0.0, 3));
        node.receive_peer_message(director.peer_message(false));
        let mut late = late;
        late.sequence += 10;
        assert_eq!(late.releases.len(), 1);
        node.receive_peer_message(late);
        assert_eq!(versions_of(&node, REQUESTS), all(PRESENT));
    });
}

/// The list of engines may be faster than the order.
#[test]
fn version_without_an_order_waits_for_one_and_is_then_used() {
    run_paused(async {
        let node = new_node(0, ZONE);
        node.state_mut().releases.knows_orders = true;
        let old: Vec<_> = both_versions().into_iter().take(3).collect();
        list_engines(&node, old);
        advance(Duration::from_secs(30)).await;
        list_engines(&node, both_versions());
        advance(Duration::from_millis(2_900)).await;
        assert_eq!(versions_of(&node, REQUESTS), all(PRESENT));
        advance(Duration::from_millis(200)).await;
        assert!(count_of(&versions_of(&node, REQUESTS), TARGET) > REQUESTS / 4);
    });
}

/// The usual way on from a version that was bad.
#[parameterized(
    rolled_back = { Stage::RolledBack },
    withdrawn = { Stage::Withdrawn },
    completed = { Stage::Completed },
)]
fn next_version_waits_for_its_order_after_a_release_that_has_ended(stage: Stage) {
    run_paused(async move {
        let node = lone_node().await;
        node.publish_grant(grant(stage, 1.0, 1));
        advance(Duration::from_secs(10)).await;
        let mut entries = both_versions();
        entries.push(engine_of("newest-1", "v3"));
        list_engines(&node, entries);
        assert_eq!(count_of(&versions_of(&node, REQUESTS), "v3"), 0);
        advance(Duration::from_secs(3)).await;
        assert!(count_of(&versions_of(&node, REQUESTS), "v3") > 0);
    });
}

#[test]
fn new_version_serves_before_its_time_when_no_other_does() {
    run_paused(async {
        let node = new_node(0, ZONE);
        node.state_mut().releases.knows_orders = true;
        list_engines(&node, vec![engine_of("old-1", PRESENT)]);
        advance(Duration::from_secs(30)).await;
        let leaving = EngineEntry {
            state: EngineState::Draining,
            ..engine_of("old-1", PRESENT)
        };
        list_engines(&node, vec![leaving, engine_of("new-1", TARGET)]);
        assert_eq!(versions_of(&node, REQUESTS), all(TARGET));
    });
}

#[parameterized(
    by_age = { true, PRESENT },
    by_number = { false, TARGET },
)]
fn node_that_knows_no_orders_yet_uses_the_version_of_the_oldest_engine(
    tells_age: bool,
    expected: &'static str,
) {
    run_paused(async move {
        let node = new_node(0, ZONE);
        let with_age = |(age, entry): (usize, EngineEntry)| EngineEntry {
            incarnation: tells_age.then_some(Incarnation(age as u64)),
            ..entry
        };
        // One engine of the present version is left; it began first.
        let entries = both_versions().into_iter().skip(2).enumerate();
        list_engines(&node, entries.map(with_age).collect());
        advance(Duration::from_secs(5)).await;
        assert_eq!(versions_of(&node, REQUESTS), all(expected));
        advance(Duration::from_secs(6)).await;
        let versions: BTreeSet<_> = versions_of(&node, REQUESTS).into_iter().collect();
        assert_eq!(versions.len(), 2);
    });
}

#[test]
fn node_learns_with_an_introduction_that_orders_are_known() {
    run_paused(async {
        let (knowing, node) = (lone_node().await, new_node(1, ZONE));
        node.receive_peer_message(knowing.peer_message(false));
        assert!(!node.state().releases.knows_orders);
        node.receive_peer_message(knowing.peer_message(true));
        assert!(node.state().releases.knows_orders);
    });
}

#[test]
fn engine_that_begins_again_with_another_version_is_new() {
    run_paused(async {
        let node = new_node(0, ZONE);
        node.state_mut().releases.knows_orders = true;
        let old: Vec<_> = both_versions().into_iter().take(3).collect();
        list_engines(&node, old.clone());
        advance(Duration::from_secs(30)).await;
        let mut entries = old;
        entries[0].software = TARGET.to_owned();
        list_engines(&node, entries);
        assert_eq!(versions_of(&node, REQUESTS), all(PRESENT));
    });
}

/// The release may have been completed while this node heard nobody.
#[test]
fn target_version_serves_when_the_present_engines_leave_though_no_grant_holds() {
    run_paused(async {
        let node = lone_node().await;
        node.publish_grant(grant(Stage::Settling, 1.0, 1));
        advance(ROLLBACK_WITHIN).await;
        assert_eq!(versions_of(&node, REQUESTS), all(PRESENT));
        let mut entries = both_versions();
        for entry in &mut entries[..3] {
            entry.state = EngineState::Draining;
        }
        list_engines(&node, entries);
        assert_eq!(versions_of(&node, REQUESTS), all(TARGET));
    });
}

/// Without the operator's word there is nothing to compare it with, and nobody else to serve.
#[test]
fn pool_of_the_target_version_alone_serves_during_its_trial() {
    run_paused(async {
        let node = lone_node().await;
        list_engines(&node, both_versions().into_iter().skip(3).collect());
        node.publish_grant(grant(Stage::Trial, 0.05, 1));
        assert_eq!(versions_of(&node, REQUESTS), all(TARGET));
    });
}

#[test]
fn replacement_without_an_order_goes_on_after_a_release_was_completed() {
    run_paused(async {
        let node = lone_node().await;
        node.publish_grant(grant(Stage::Completed, 1.0, 1));
        advance(Duration::from_secs(20)).await;
        let mut entries = both_versions();
        entries.push(engine_of("newest-1", "v3"));
        list_engines(&node, entries.clone());
        assert_eq!(versions_of(&node, REQUESTS), all(TARGET));
        advance(Duration::from_secs(3)).await;
        node.refresh_releases();
        let versions = versions_of(&node, REQUESTS);
        assert!(count_of(&versions, "v3") > 0);
        assert_eq!(count_of(&versions, PRESENT), 0);
        for entry in &mut entries[..6] {
            entry.state = EngineState::Draining;
        }
        list_engines(&node, entries);
        assert_eq!(versions_of(&node, REQUESTS), all("v3"));
    });
}

/// A node without the bounds of releases takes part in none, whatever it hears.
#[parameterized(
    rolled_back = { Stage::RolledBack },
    withdrawn = { Stage::Withdrawn },
)]
fn version_that_comes_after_a_rejected_one_waits_for_its_order(stage: Stage) {
    run_paused(async move {
        let node = lone_node().await;
        node.publish_grant(grant(stage, 0.0, 1));
        advance(Duration::from_secs(20)).await;
        let mut entries = both_versions();
        entries.push(engine_of("newest-1", "v3"));
        list_engines(&node, entries);
        assert_eq!(versions_of(&node, REQUESTS), all(PRESENT));
        advance(Duration::from_secs(3)).await;
        let versions = versions_of(&node, REQUESTS);
        assert!(count_of(&versions, "v3") > 0);
        assert_eq!(count_of(&versions, TARGET), 0);
    });
}

/// It hears of the release when the next replacement has begun.
#[test]
fn node_that_starts_after_a_release_does_not_take_newer_engines_for_replaced() {
    run_paused(async {
        let node = new_node(0, ZONE);
        node.publish_grant(grant(Stage::Completed, 1.0, 1));
        let mut entries = both_versions();
        entries.push(engine_of("newest-1", "v3"));
        let entries = entries.into_iter().enumerate();
        let aged = entries.map(|(age, entry)| EngineEntry {
            incarnation: Some(Incarnation(age as u64)),
            ..entry
        });
        list_engines(&node, aged.collect());
        node.refresh_releases();
        advance(Duration::from_secs(4)).await;
        node.refresh_releases();
        let versions = versions_of(&node, REQUESTS);
        assert!(count_of(&versions, "v3") > 0);
        assert!(count_of(&versions, TARGET) > 0);
        assert_eq!(count_of(&versions, PRESENT), 0);
    });
}

/// Engines of the present version that ended during the trial have begun again since, all of them after the target
/// version's. They stop with the end of the release as any others, and requests that went there for seconds broke off:
/// `request_unserved at=engine_gone held_ms=0`, nine of them in half a second.
#[test]
fn present_engines_that_began_after_the_target_ones_get_nothing_once_these_have_taken_over() {
    run_paused(async {
        let node = lone_node().await;
        node.publish_grant(grant(Stage::Trial, 0.05, 1));
        let mut entries = both_versions();
        for (index, entry) in entries.iter_mut().enumerate() {
            // The present ones come first.
            entry.incarnation = Some(Incarnation(10 - index as u64));
        }
        list_engines(&node, entries);
        advance(Duration::from_secs(3)).await;
        node.publish_grant(grant(Stage::Settling, 1.0, 2));
        assert_eq!(versions_of(&node, REQUESTS), all(TARGET));
        node.publish_grant(grant(Stage::Completed, 1.0, 3));
        node.refresh_releases();
        assert_eq!(versions_of(&node, REQUESTS), all(TARGET));
    });
}

#[test]
fn without_bounds_nothing_is_told_and_every_engine_is_used() {
    run_paused(async {
        let node = gateway("node-1");
        configure(&node, table(1, Vec::new()));
        list_engines(&node, both_versions());
        let director = lone_node().await;
        director.publish_grant(grant(Stage::RolledBack, 0.0, 1));
        node.receive_peer_message(director.peer_message(true));
        node.refresh_releases();
        let versions = versions_of(&node, REQUESTS);
        assert!(count_of(&versions, TARGET) > REQUESTS / 4);
        let message = serde_json::to_value(node.peer_message(true)).unwrap();
        let keys = ["b", "v", "j"];
        assert!(
            keys.iter().all(|key| message.get(key).is_none()),
            "{message}"
        );
    });
}

/// Where releases are on but none is ordered, choices are those of a node without.
#[test]
fn choices_are_the_same_while_no_release_is_known() {
    run_paused(async {
        let choices = |node: &Rc<Gateway>| -> Vec<BackEndName> {
            configure(node, table(1, Vec::new()));
            list_engines(node, both_versions().into_iter().take(3).collect());
            let placed = (0..REQUESTS).filter_map(|n| place(node, &format!("r{n}"), &[]));
            placed.map(|placement| placement.engine).collect()
        };
        let with = support::gateway_bench::gateway_with(release_settings("node-1"));
        assert_eq!(choices(&with), choices(&gateway("node-1")));
    });
}
