//! When engines load in a rollout of weights, on a virtual clock.

mod support;

use std::time::Duration;

use ryerouter_core::identity::{BackEndName, PoolName};
use ryerouter_gateway::engines::EngineLoad;
use ryerouter_gateway::rollout::{
    PublicationTime, RolloutAction, RolloutSettings, WeightsDeadlines,
};
use support::planned_rollout::{GRACE, Rollout, STEP_MILLIS, at};
use support::records::POOL;
use support::test_dialect::MODEL;
use yare::parameterized;

#[test]
fn rollout_begins_as_late_as_is_safe() {
    let mut rollout = Rollout::new(2);
    // Two engines, one at a time, a second each, and two and a half to spare.
    assert_eq!(rollout.advance(2_400), []);
    assert_eq!(rollout.advance(2_500).len(), 1);
}

/// A pool without requests, where no engine loads before it must.
#[parameterized(
    one_engine = { 1, 3_500 },
    two = { 2, 2_500 },
    four = { 4, 500 },
    six = { 6, 0 },
    sixty = { 60, 0 },
)]
fn rollout_without_troubles_begins_no_earlier_than_it_must(engines: usize, begin: u64) {
    let mut rollout = Rollout::new(engines);
    let mut steps = (0..10_000).step_by(STEP_MILLIS as usize);
    let begun = steps.find(|millis| !rollout.advance(*millis).is_empty());
    assert_eq!(begun, Some(begin));
}

/// A newer version moves the deadline of older weights neither back nor forth.
#[test]
fn rollout_to_a_newer_version_begins_when_the_first_one_is_due() {
    let mut rollout = Rollout::new(2);
    let third = PublicationTime::Seen(at(1_000));
    rollout.deadlines.note(MODEL, 3, third);
    assert_eq!(rollout.advance(2_450), []);
    assert_eq!(rollout.advance(2_500).len(), 1);
}

#[parameterized(
    two_engines_every_half_second = { 2, 500 },
    two_engines_every_2_seconds = { 2, 2_000 },
    twelve_engines_every_half_second = { 12, 500 },
    twelve_engines_every_2_seconds = { 12, 2_000 },
    twelve_engines_every_3_seconds = { 12, 3_000 },
    twelve_engines_all_the_time = { 12, STEP_MILLIS },
    sixty_engines_every_3_seconds = { 60, 3_000 },
)]
fn rollout_is_not_put_off_for_ever_by_troubles_of_the_source(engines: usize, millis: u64) {
    let mut rollout = Rollout::new(engines);
    let interval = Duration::from_millis(millis);
    let loaded_at = rollout.loaded_at(interval, 10 * GRACE);
    assert!(loaded_at.is_some_and(|at| at <= GRACE), "{loaded_at:?}");
}

/// The node that takes the lease may have seen troubles that the former holder has not.
#[test]
fn new_holder_of_the_lease_orders_no_later_than_the_former_one_would_have() {
    let mut former = Rollout::new(2);
    let mut successor = Rollout::new(2);
    successor.deadlines.extend_from(at(2_400));
    assert_eq!(former.advance(2_500), successor.advance(2_500));
}

/// Twelve engines with requests, version 2 named at time 0, and much time for the rollout.
fn used_pool() -> Rollout {
    let mut rollout = Rollout::new(12);
    rollout.deadlines = WeightsDeadlines::new(3 * GRACE);
    rollout
        .deadlines
        .note(MODEL, 2, PublicationTime::Seen(at(0)));
    for engine in rollout.engines.iter_mut() {
        engine.foreign_load.requests = 1;
    }
    rollout
}

#[test]
fn first_engines_of_a_used_pool_load_at_once_and_the_others_wait() {
    let mut rollout = used_pool();
    assert_eq!(rollout.advance(0).len(), 2);
    for name in ["e00", "e01"] {
        let engine = rollout.engines.get_mut(&BackEndName::new(name)).unwrap();
        engine.note_weights(MODEL, 2);
    }
    let loaded = |action: &RolloutAction| matches!(action, RolloutAction::Loaded { .. });
    assert!(rollout.advance(900).iter().all(loaded));
    assert_eq!(rollout.advance(1_600), []);
}

#[test]
fn engines_load_early_as_far_as_requests_begin_on_replaced_weights() {
    let mut rollout = used_pool();
    rollout.advance(0);
    for name in ["e00", "e01"] {
        let engine = rollout.engines.get_mut(&BackEndName::new(name)).unwrap();
        engine.note_weights(MODEL, 2);
    }
    rollout.advance(900);
    let settings = RolloutSettings::default();
    let a_load = settings.load_worth / settings.stale_share;
    let pool = PoolName::new(POOL);
    rollout.planner.note_stale(&pool, a_load * 0.9);
    assert_eq!(rollout.advance(1_700), []);
    rollout.planner.note_stale(&pool, a_load * 0.2);
    assert_eq!(rollout.advance(1_800).len(), 1);
    // That is spent; however much is lost, no more load at once than usual.
    assert_eq!(rollout.advance(1_900), []);
    rollout.planner.note_stale(&pool, a_load * 100.0);
    assert_eq!(rollout.advance(2_000).len(), 1);
}

#[test]
fn order_says_whether_it_is_early() {
    let is_early = |mut rollout: Rollout| {
        rollout.advance(0);
        let actions = rollout.report_and_advance("e00", 0, 1, 10);
        actions.iter().find_map(|action| match action {
            RolloutAction::Order(order) => Some(order.is_early),
            _ => None,
        })
    };
    assert_eq!(is_early(Rollout::due(1)), Some(false));
    // An engine with requests drains before it is ordered.
    let mut used = used_pool();
    let first = used.engines.get_mut(&BackEndName::new("e00")).unwrap();
    first.foreign_load = EngineLoad::default();
    assert_eq!(is_early(used), Some(true));
}
