//! Parts of prompts that crash engines: which of several suspects is blamed.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;
use ryerouter_core::poison::{Crash, Digest, Register, Verdict};
use yare::parameterized;

const START: u64 = 1_000_000;
/// A part that is the first of most prompts, one that crashes engines, one that is rare.
const COMMON: Digest = Digest(1);
const FATAL: Digest = Digest(2);
const RARE: Digest = Digest(3);
/// Requests have digests from here on.
const OWN: u128 = 1_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(START + millis)
}

fn crash(engine: u64, ended: u64) -> Crash {
    Crash {
        engine: BackEndName::new(format!("e{engine}")),
        incarnation: None,
        began: at(ended).before(Duration::from_millis(100)),
        ended: at(ended),
        is_unproven: false,
    }
}

/// An engine crashes under one request with these parts, and under others that ran beside.
fn crash_under(register: &mut Register, index: u64, parts: &[Digest], beside: &[Digest]) {
    let ended = index * 1_000;
    let own = Digest(OWN + u128::from(index));
    for digest in parts.iter().chain(beside).chain([&own]) {
        register.record_crash(*digest, crash(index, ended), at(ended));
    }
}

fn is_served(register: &Register, digests: &[Digest], now: u64) -> bool {
    register.verdict_of_all(digests, at(now)) == Verdict::Allowed
}

#[test]
fn part_that_all_crashes_share_is_blocked_and_the_common_one_is_not() {
    let mut register = Register::default();
    for index in 1..=3 {
        crash_under(&mut register, index, &[COMMON, FATAL], &[]);
        // Sound requests with the common part end well all the time.
        register.record_success(COMMON, at(index * 1_000 + 300));
    }
    assert!(!is_served(&register, &[Digest(7), COMMON, FATAL], 3_400));
    assert!(is_served(&register, &[Digest(8), COMMON], 3_400));
    assert!(is_served(&register, &[Digest(9), COMMON, RARE], 3_400));
}

/// What has run beside the cause at some of its crashes must not be held back for them.
#[parameterized(
    request = { Digest(42) },
    part = { RARE },
)]
fn bystander_is_cleared_by_the_cause_that_explains_its_crashes(bystander: Digest) {
    let mut register = Register::default();
    for index in 1..=5 {
        let beside: &[_] = if index <= 3 { &[bystander] } else { &[] };
        crash_under(&mut register, index, &[FATAL], beside);
    }
    assert!(register.is_blocked(bystander));
    assert!(is_served(&register, &[bystander, COMMON], 5_400));
    assert!(!is_served(&register, &[Digest(7), FATAL], 5_400));
}

/// Engines crash under runs that had begun before the block was known; these explain what ran beside as well.
#[test]
fn crashes_after_the_block_explain_those_of_bystanders() {
    let mut register = Register::default();
    for index in 1..=3 {
        crash_under(&mut register, index, &[FATAL], &[]);
    }
    for index in 4..=6 {
        let ended = 3_000 + index * 40;
        register.record_crash(FATAL, crash(index, ended), at(ended));
        register.record_crash(RARE, crash(index, ended), at(ended));
    }
    assert!(is_served(&register, &[Digest(7), RARE], 5_000));
}

/// A bad request does not make the part of another's prompt look bad by naming it.
#[test]
fn part_that_a_crashing_request_names_is_cleared_by_a_good_run() {
    let mut register = Register::default();
    for index in 1..=3 {
        crash_under(&mut register, index, &[FATAL, RARE], &[]);
    }
    assert!(!is_served(&register, &[Digest(7), RARE], 3_400));
    // It is tried soon, since another suspect has the same crashes.
    let tried = register.verdict_of_all(&[Digest(7), RARE], at(3_000 + 6_000));
    assert_eq!(tried, Verdict::Trial);
    register.record_success(RARE, at(9_300));
    assert!(is_served(&register, &[Digest(7), RARE], 9_400));
    assert!(!is_served(&register, &[Digest(8), FATAL, RARE], 9_400));
}

/// Engines that are lost at the same moment say nothing of the parts that ran everywhere.
#[test]
fn pool_that_is_lost_at_once_blocks_no_part() {
    let mut register = Register::default();
    for engine in 1..=12 {
        let mut lost = crash(engine, 2_000 + engine);
        lost.began = at(1_500);
        register.record_crash(COMMON, lost, at(2_100));
    }
    assert!(is_served(&register, &[Digest(7), COMMON], 2_200));
}

/// Whatever callers send, the memory for it is bounded.
#[test]
fn number_of_histories_is_bounded_and_what_is_blocked_stays() {
    let mut register = Register::default();
    for index in 1..=3 {
        crash_under(&mut register, index, &[FATAL], &[]);
    }
    for index in 0..5_000 {
        let digest = Digest(10_000 + index);
        register.record_crash(digest, crash(9, 4_000), at(4_000));
    }
    assert!(register.count() <= 1_024);
    assert!(register.is_blocked(FATAL));
}
