//! The lease: one holder at a time, rising numbers, pauses, lost answers, a store that is down.

mod lease_bench;

use std::time::Duration;

use lease_bench::{LeaseBench, StoreMode};
use ryerouter_core::identity::FencingNumber;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn one_of_several_candidates_holds_the_lease() {
    let mut bench = LeaseBench::new(3);
    bench.run(SECOND * 5);
    assert_eq!(bench.holders(), 1);
    bench.run(SECOND * 60);
    assert_eq!(bench.holders(), 1);
    assert_eq!(bench.highest(), FencingNumber(1));
}

#[test]
fn another_takes_over_with_a_higher_number_when_the_holder_dies() {
    let mut bench = LeaseBench::new(3);
    bench.run(SECOND * 5);
    let holder = bench.holder().expect("held");
    bench.kill(holder);
    bench.run(SECOND * 20);
    assert_ne!(bench.holder(), Some(holder));
    assert_eq!(bench.highest(), FencingNumber(2));
}

#[test]
fn lease_that_is_given_up_is_taken_at_once() {
    let mut bench = LeaseBench::new(2);
    bench.run(SECOND * 5);
    let holder = bench.holder().expect("held");
    bench.resign(holder);
    bench.run(SECOND * 6);
    assert_eq!(bench.holder(), Some(1 - holder));
}

#[test]
fn paused_holder_does_not_hold_when_it_wakes() {
    let mut bench = LeaseBench::new(2);
    bench.run(SECOND * 5);
    let holder = bench.holder().expect("held");
    bench.pause(holder);
    bench.run(SECOND * 30);
    assert_eq!(bench.holder(), Some(1 - holder));
    bench.resume(holder);
    assert!(!bench.holds(holder));
    bench.run(SECOND * 30);
    assert_eq!(bench.holder(), Some(1 - holder));
}

#[test]
fn nobody_holds_the_lease_while_the_store_is_down() {
    let mut bench = LeaseBench::new(2);
    bench.run(SECOND * 5);
    bench.store_mode(StoreMode::Down);
    bench.run(SECOND * 12);
    assert_eq!(bench.holders(), 0);
    bench.store_mode(StoreMode::Up);
    bench.run(SECOND * 20);
    assert_eq!(bench.holders(), 1);
}

#[test]
fn write_whose_answer_is_lost_is_settled_by_reading() {
    let mut bench = LeaseBench::new(1);
    bench.store_mode(StoreMode::AnswersLost { every: 2 });
    bench.run(SECOND * 60);
    assert_eq!(bench.holders(), 1);
    assert_eq!(bench.highest(), FencingNumber(1));
}

#[yare::parameterized(
    up = { StoreMode::Up },
    answers_lost = { StoreMode::AnswersLost { every: 3 } },
    stale_reads = { StoreMode::StaleReads },
)]
fn never_two_holders_with_one_number(mode: StoreMode) {
    for seed in 0..40 {
        let mut bench = LeaseBench::new(4);
        bench.store_mode(mode);
        bench.trouble(seed, SECOND * 300);
        assert_eq!(bench.shared_numbers(), 0, "seed {seed}");
        assert!(bench.highest() > FencingNumber(1), "seed {seed}");
    }
}

#[test]
fn lease_whose_object_was_removed_is_taken_again_with_a_higher_number() {
    let mut bench = LeaseBench::new(2);
    bench.run(SECOND * 30);
    bench.remove_object();
    bench.run(SECOND * 40);
    assert_eq!(bench.holders(), 1);
    assert!(bench.highest() > FencingNumber(1));
    assert_eq!(bench.shared_numbers(), 0);
}

#[test]
fn lease_of_a_store_that_was_restored_is_taken_again_with_a_higher_number() {
    let mut bench = LeaseBench::new(2);
    bench.run(SECOND * 5);
    let early = bench.record().expect("record");
    let holder = bench.holder().expect("held");
    bench.kill(holder);
    bench.run(SECOND * 60);
    assert_eq!(bench.highest(), FencingNumber(2));
    bench.restore(early);
    bench.run(SECOND * 60);
    assert_eq!(bench.holders(), 1);
    assert_eq!(bench.highest(), FencingNumber(3));
    assert_eq!(bench.shared_numbers(), 0);
}

#[test]
fn reads_that_lag_for_long_bar_nobody_once_they_are_current() {
    let mut bench = LeaseBench::new(2);
    bench.run(SECOND * 5);
    let holder = bench.holder().expect("held");
    bench.kill(holder);
    bench.store_mode(StoreMode::LaggingReads);
    bench.run(SECOND * 60);
    bench.store_mode(StoreMode::Up);
    bench.run(SECOND * 20);
    assert_eq!(bench.holders(), 1);
    assert_eq!(bench.shared_numbers(), 0);
}

#[test]
fn never_two_holders_with_one_number_while_reads_lag() {
    for seed in 0..40 {
        let mut bench = LeaseBench::new(4);
        bench.store_mode(StoreMode::LaggingReads);
        bench.trouble(seed, SECOND * 300);
        assert_eq!(bench.shared_numbers(), 0, "seed {seed}");
    }
}
