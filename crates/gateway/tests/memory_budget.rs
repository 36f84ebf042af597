//! What a node holds for its callers stays within its memory, and the memory is shared so that none of them is held up
//! for good.

use ryerouter_gateway::memory::{BodyShortage, ByteBudget, MemoryLimits, Purpose};
use yare::parameterized;

const MIB: usize = 1_024 * 1_024;
/// A body as long as callers may send.
const LONG: usize = 4 * MIB;
const SHORT: usize = 10_000;

fn budget() -> (ByteBudget, MemoryLimits) {
    let limits = MemoryLimits::of_machine(88 * MIB);
    (ByteBudget::new(limits), limits)
}

/// Holds as much for this purpose as there is room for, in pieces of this size.
fn fill(budget: &mut ByteBudget, purpose: Purpose, bytes: usize) -> usize {
    let mut count = 0;
    while budget.reserve(purpose, bytes) {
        count += 1;
    }
    count
}

#[parameterized(
    tiny = { 16 },
    small = { 88 },
    usual = { 512 },
    large = { 65_536 },
)]
fn everything_together_fits_the_machine(machine_mb: usize) {
    let limits = MemoryLimits::of_machine(machine_mb * MIB);
    let most = limits.total + limits.for_last_answer;
    assert!(most < machine_mb * MIB, "{limits:?}");
    let levels = [
        Purpose::LongBody,
        Purpose::ShortBody,
        Purpose::LongAnswer,
        Purpose::ShortAnswer,
    ];
    let levels = levels.map(|purpose| limits.level(purpose));
    assert!(levels.is_sorted(), "{levels:?}");
    assert_eq!(levels[3], most);
}

#[test]
fn long_bodies_do_not_exceed_their_level() {
    let (mut budget, limits) = budget();
    let count = fill(&mut budget, Purpose::LongBody, LONG);
    assert_eq!(count, limits.level(Purpose::LongBody) / LONG);
    assert_eq!(budget.held(), count * LONG);
}

#[test]
fn long_bodies_leave_room_for_short_ones_and_all_for_answers() {
    let (mut budget, _) = budget();
    fill(&mut budget, Purpose::LongBody, SHORT);
    assert!(fill(&mut budget, Purpose::ShortBody, SHORT) > 0);
    assert!(fill(&mut budget, Purpose::LongAnswer, SHORT) > 0);
    assert!(fill(&mut budget, Purpose::ShortAnswer, SHORT) > 0);
}

#[test]
fn waiting_long_bodies_are_admitted_in_their_order() {
    let (mut budget, _) = budget();
    fill(&mut budget, Purpose::LongBody, LONG);
    let first = budget.wait(Purpose::LongBody, LONG).expect("may wait");
    let second = budget.wait(Purpose::LongBody, LONG).expect("may wait");
    budget.release(LONG, false);
    assert!(!budget.reserve(Purpose::LongBody, LONG), "a newer one");
    assert!(!budget.reserve_in_turn(second, Purpose::LongBody, LONG));
    assert!(budget.reserve_in_turn(first, Purpose::LongBody, LONG));
    budget.end_wait(first);
    budget.release(LONG, false);
    assert!(budget.reserve_in_turn(second, Purpose::LongBody, LONG));
    budget.end_wait(second);
    assert_eq!(budget.waiting(), 0);
}

#[test]
fn short_bodies_do_not_wait_behind_long_ones() {
    let (mut budget, _) = budget();
    fill(&mut budget, Purpose::LongBody, LONG);
    budget.wait(Purpose::LongBody, LONG).expect("may wait");
    assert!(budget.reserve(Purpose::ShortBody, SHORT));
}

#[test]
fn body_that_can_never_be_admitted_does_not_wait() {
    let (mut budget, limits) = budget();
    let too_long = limits.level(Purpose::LongBody) + 1;
    let waited = budget.wait(Purpose::LongBody, too_long);
    assert_eq!(waited, Err(BodyShortage::TooLong));
    assert_eq!(budget.waiting(), 0);
}

/// What arrives of a body that waits stays in the kernel's buffers, which are memory too.
#[test]
fn no_more_bodies_wait_than_may() {
    let (mut budget, limits) = budget();
    fill(&mut budget, Purpose::LongBody, LONG);
    for _ in 0..limits.max_waiting {
        budget.wait(Purpose::LongBody, LONG).expect("may wait");
    }
    let waited = budget.wait(Purpose::ShortBody, SHORT);
    assert_eq!(waited, Err(BodyShortage::TooManyWaiting));
}

/// Each holds memory and waits for more: without the bytes set aside for one of them, all would wait for good.
#[test]
fn long_answers_that_hold_all_memory_end_one_after_the_other() {
    let (mut budget, limits) = budget();
    fill(&mut budget, Purpose::LongAnswer, LONG);
    assert!(budget.overdraw(LONG, false));
    assert!(!budget.overdraw(SHORT, false), "one at a time");
    assert!(budget.overdraw(SHORT, true), "the same one");
    assert!(budget.held() <= limits.total + limits.for_last_answer);
    budget.release(LONG + SHORT, true);
    assert!(budget.overdraw(LONG, false), "the next one");
}

#[test]
fn short_answers_do_not_wait_behind_long_ones() {
    let (mut budget, _) = budget();
    fill(&mut budget, Purpose::LongAnswer, MIB);
    assert!(!budget.reserve(Purpose::LongAnswer, MIB));
    assert!(budget.reserve(Purpose::ShortAnswer, SHORT));
}

#[test]
fn nothing_is_left_held_once_all_is_given_back() {
    let (mut budget, _) = budget();
    let count = fill(&mut budget, Purpose::LongBody, LONG);
    for _ in 0..count {
        budget.release(LONG, false);
    }
    assert_eq!(budget.held(), 0);
}
