//! Published weights: until when older ones may be used, and which ones an engine is taken to have.

mod support;

use std::time::Duration;

use ryerouter_core::identity::{BackEndName, PoolName};
use ryerouter_gateway::engines::StartDelays;
use ryerouter_gateway::rollout::{PublicationTime, WeightsDeadlines};
use support::planned_rollout::{GRACE, Rollout, at};
use support::records::POOL;
use support::test_dialect::MODEL;
use yare::parameterized;

#[parameterized(
    newest = { 3, 100_000, true },
    before_the_end_of_grace = { 2, 10_999, true },
    after_the_end_of_grace = { 2, 11_000, false },
    judged_by_the_first_newer_one = { 1, 8_500, false },
)]
fn older_weights_end_with_the_grace_of_the_first_newer_version(
    version: u64,
    millis: u64,
    allowed: bool,
) {
    let mut deadlines = WeightsDeadlines::new(GRACE);
    deadlines.note(MODEL, 2, PublicationTime::Seen(at(1_000)));
    deadlines.note(MODEL, 3, PublicationTime::Seen(at(4_000)));
    assert_eq!(deadlines.allows(MODEL, version, at(millis)), allowed);
}

#[test]
fn what_a_node_saw_replaces_what_another_assumed() {
    let mut deadlines = WeightsDeadlines::new(GRACE);
    deadlines.note(MODEL, 2, PublicationTime::Assumed(at(0)));
    deadlines.note(MODEL, 2, PublicationTime::Seen(at(3_000)));
    deadlines.note(MODEL, 2, PublicationTime::Assumed(at(1_000)));
    assert_eq!(deadlines.until(MODEL, 1), Some(at(3_000).after(GRACE)));
}

#[test]
fn grace_begins_anew_after_trouble_of_the_source() {
    let mut deadlines = WeightsDeadlines::new(GRACE);
    deadlines.note(MODEL, 2, PublicationTime::Seen(at(0)));
    deadlines.extend_from(at(5_000));
    assert_eq!(deadlines.until(MODEL, 1), Some(at(5_000).after(GRACE)));
}

#[test]
fn troubles_of_the_source_put_off_the_end_for_requests_but_not_for_orders() {
    let mut deadlines = WeightsDeadlines::new(GRACE);
    deadlines.note(MODEL, 2, PublicationTime::Seen(at(0)));
    for millis in (500..20_000).step_by(500) {
        deadlines.extend_from(at(millis));
    }
    assert!(deadlines.allows(MODEL, 1, at(26_400)));
    let load_deadline = deadlines.load_deadline(MODEL, 1);
    assert_eq!(load_deadline, Some(at(0).after(GRACE)));
    assert_eq!(deadlines.load_deadline(MODEL, 2), None);
}

#[parameterized(
    seen = { &[PublicationTime::Seen(at(1_000))], 1_000 },
    assumed = { &[PublicationTime::Assumed(at(1_000))], 1_000 },
    learned_late = { &[PublicationTime::Between(at(1_000), at(4_000))], 1_000 },
    seen_by_another_after_a_suspension_here = {
        &[PublicationTime::Seen(at(5_000)), PublicationTime::Seen(at(1_000))],
        1_000,
    },
    seen_by_another_after_it_was_assumed_here = {
        &[PublicationTime::Assumed(at(1_000)), PublicationTime::Seen(at(3_000))],
        3_000,
    },
)]
fn load_deadline_counts_from_the_first_moment_that_the_version_may_have_been_named(
    known: &[PublicationTime],
    named: u64,
) {
    let mut deadlines = WeightsDeadlines::new(GRACE);
    deadlines.extend_from(at(500));
    for time in known {
        deadlines.note(MODEL, 2, *time);
    }
    deadlines.extend_from(at(6_000));
    let expected = Some(at(named).after(GRACE));
    assert_eq!(deadlines.load_deadline(MODEL, 1), expected);
}

#[test]
fn slowest_begin_lately_fades() {
    let mut times = StartDelays::default();
    let pool = PoolName::new(POOL);
    times.note(&pool, Duration::from_millis(1_200), at(0));
    times.note(&pool, Duration::from_millis(300), at(100));
    assert_eq!(times.max_recent(&pool, at(0)).as_millis(), 1_200);
    assert_eq!(times.max_recent(&pool, at(2_000)).as_millis(), 600);
    times.note(&pool, Duration::from_millis(700), at(2_000));
    assert_eq!(times.max_recent(&pool, at(2_000)).as_millis(), 700);
}

#[test]
fn engine_that_turns_its_weights_away_after_an_announced_load_is_presumed_to_have_loaded() {
    let mut rollout = Rollout::new(1);
    let name = BackEndName::new("e00");
    let engine = rollout.engines.get_mut(&name).unwrap();
    engine.note_loading(MODEL, 2, at(3_000));
    // The end of the load is never told.
    assert_eq!(engine.serving_weights_of(MODEL), Some(1));
    engine.note_misdirected(Some((MODEL, 1)), at(4_300));
    assert_eq!(engine.serving_weights_of(MODEL), Some(2));
    assert!(engine.takes_work(at(4_001)));
    // Whoever gives orders asks the engine itself.
    assert_eq!(engine.weights_of(MODEL), Some(1));
    // It has not loaded after all.
    engine.note_misdirected(Some((MODEL, 2)), at(5_300));
    assert_eq!(engine.serving_weights_of(MODEL), Some(1));
    assert!(!engine.takes_work(at(5_200)));
}

#[test]
fn engine_that_turns_its_weights_away_without_a_load_is_avoided() {
    let mut rollout = Rollout::new(1);
    let engine = rollout.engines.get_mut(&BackEndName::new("e00")).unwrap();
    engine.note_misdirected(Some((MODEL, 1)), at(300));
    assert_eq!(engine.serving_weights_of(MODEL), Some(1));
    assert!(!engine.takes_work(at(200)) && engine.takes_work(at(400)));
}
