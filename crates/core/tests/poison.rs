//! Requests that end the engines that run them: what convicts one, what clears it, and when it is tried again.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, Incarnation};
use ryerouter_core::poison::{Crash, Digest, History, Register, Verdict};
use yare::parameterized;

const MINUTE: u64 = 60_000;
const DAY: u64 = 1_440 * MINUTE;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

/// An engine that ended; times in milliseconds.
fn crash(engine: &str, began: u64, ended: u64) -> Crash {
    Crash {
        engine: BackEndName::new(engine),
        incarnation: None,
        began: at(began),
        ended: at(ended),
        is_unproven: false,
    }
}

/// Runs one after the other, each of which ended its engine; the last ended at 2,100.
fn in_a_row(count: u64) -> Vec<Crash> {
    let one = |index: u64| crash(&format!("e{index}"), index * 1_000, index * 1_000 + 100);
    (0..count).map(one).collect()
}

fn history(crashes: impl IntoIterator<Item = Crash>) -> History {
    let mut history = History::default();
    for crash in crashes {
        history.record_crash(crash);
    }
    history
}

#[parameterized(
    none = { 0, false },
    one = { 1, false },
    two = { 2, false },
    three = { 3, true },
    more = { 6, true },
)]
fn three_ends_in_a_row_hold_a_request_back(count: u64, expected: bool) {
    let history = history(in_a_row(count));
    assert_eq!(history.is_blocked(), expected);
    let runs = history.verdict(false, at(10_000)) == Verdict::Allowed;
    assert_eq!(runs, !expected);
}

/// All copies of a popular request end with a pool that is lost; what ends later began later.
#[parameterized(
    at_the_same_moment = { [1_000, 1_000, 1_000] },
    within_moments = { [1_000, 1_020, 1_040] },
    within_a_quarter_of_a_second = { [1_000, 1_100, 1_250] },
)]
fn copies_that_ran_at_the_same_time_are_one_end(ends: [u64; 3]) {
    let copies = ends.iter().enumerate();
    let crashes = copies.map(|(index, ended)| crash(&format!("e{index}"), 700, *ended));
    let history = history(crashes);
    assert_eq!(history.crashes.len(), 1);
}

/// A caller sends six copies side by side, and engines are so busy that each runs for two seconds before it ends its
/// engine: three rounds would take longer than the few seconds that are allowed.
#[test]
fn copies_side_by_side_whose_engines_end_one_after_the_other_are_as_many_ends() {
    let copy = |index: u64| crash(&format!("e{index}"), 10 * index, 2_000 + 350 * index);
    let history = history((0..6).map(copy));
    assert_eq!(history.blocked_at(), Some(at(2_700)));
}

#[test]
fn two_runs_at_the_same_engine_are_one_end() {
    let mut crashes = in_a_row(2);
    crashes.push(crash("e1", 2_000, 2_100));
    assert!(!history(crashes).is_blocked());
}

#[test]
fn another_life_of_an_engine_is_another_engine() {
    let mut crashes = in_a_row(3);
    for (life, crash) in crashes.iter_mut().enumerate() {
        crash.engine = BackEndName::new("e1");
        crash.incarnation = Some(Incarnation(life as u64));
    }
    assert!(history(crashes).is_blocked());
}

#[parameterized(
    before_the_last = { 1_500 },
    afterwards = { 5_000 },
)]
fn run_to_a_good_end_speaks_for_all_before_it(cleared: u64) {
    let mut cleared_later = history(in_a_row(3));
    cleared_later.record_success(at(cleared));
    let mut told_later = History::default();
    told_later.record_success(at(cleared));
    for crash in in_a_row(3) {
        told_later.record_crash(crash);
    }
    assert!(!cleared_later.is_blocked());
    assert!(!told_later.is_blocked());
}

/// In a small pool that another request takes away again and again, a popular one is there at each end, and may come to
/// none between.
#[parameterized(
    three = { 10, 3, false },
    eight = { 10, 8, false },
    nine = { 10, 9, true },
    three_long_after = { 11 * MINUTE, 3, true },
)]
fn request_that_was_good_lately_is_held_back_after_nine_ends(
    good_before: u64,
    ends: u64,
    expected: bool,
) {
    let mut history = History::default();
    history.record_success(at(0));
    for mut crash in in_a_row(ends) {
        let later = Duration::from_millis(good_before);
        crash.began = crash.began.after(later);
        crash.ended = crash.ended.after(later);
        history.record_crash(crash);
    }
    assert_eq!(history.is_blocked(), expected);
}

#[test]
fn engine_that_has_gone_on_speaks_for_the_request() {
    let mut history = history(in_a_row(3));
    let withdrawn = history.remove_crashes(|crash| crash.engine.as_str() == "e1");
    assert_eq!(withdrawn, 1);
    assert_eq!(history.verdict(false, at(10_000)), Verdict::Allowed);
}

/// Plays the life of a request that is sent all the time: tells when it was sent on after its conviction.
fn trials(until: u64, step: u64, is_in_doubt: bool) -> Vec<u64> {
    let mut history = history(in_a_row(3));
    let mut sent = Vec::new();
    let mut now = 2_100;
    while now < until {
        now += step;
        match history.verdict(is_in_doubt, at(now)) {
            Verdict::Allowed => panic!("runs at {now}"),
            Verdict::Trial => {
                history.begin_trial(at(now));
                history.record_crash(crash(&format!("t{now}"), now, now + 100));
                sent.push(now);
            }
            Verdict::Refused { retry_after } => assert!(retry_after > Duration::ZERO),
        }
    }
    sent
}

#[test]
fn request_that_is_held_back_is_tried_three_times_in_its_life() {
    assert!(trials(9 * MINUTE, 500, false).is_empty());
    assert_eq!(trials(15 * MINUTE, 500, false).len(), 1);
    assert_eq!(trials(25 * MINUTE, 500, false).len(), 2);
    assert_eq!(trials(30 * DAY, 10 * MINUTE, false).len(), 3);
}

/// It may only have stood beside the other.
#[test]
fn request_that_ran_at_the_same_ends_as_another_is_tried_soon() {
    assert!(trials(6_600, 500, true).is_empty());
    assert_eq!(trials(5 * MINUTE, 500, true), [7_100]);
    assert_eq!(trials(20 * MINUTE, 500, true).len(), 2);
    assert_eq!(trials(30 * DAY, 10 * MINUTE, true).len(), 3);
}

/// Engines that have ended are listed for some seconds more, and a node that has just started does not know it: what it
/// sends there breaks off at once.
#[test]
fn request_whose_run_broke_off_at_once_is_in_doubt() {
    let mut register = Register::default();
    let mut crashes = in_a_row(3);
    crashes[1].began = at(1_099);
    for crash in crashes {
        register.record_crash(Digest(1), crash, at(2_100));
    }
    assert_eq!(register.verdict(Digest(1), at(10_000)), Verdict::Trial);
}

#[parameterized(
    alone = { 0, Verdict::Refused { retry_after: Duration::from_millis(592_100) } },
    beside_at_one = { 1, Verdict::Refused { retry_after: Duration::from_millis(592_100) } },
    beside_at_two = { 2, Verdict::Trial },
)]
fn requests_that_share_ends_are_in_doubt(shared: usize, expected: Verdict) {
    let mut register = Register::default();
    for crash in in_a_row(3) {
        register.record_crash(Digest(1), crash, at(2_100));
    }
    for crash in in_a_row(3).into_iter().take(shared) {
        register.record_crash(Digest(2), crash, at(2_100));
    }
    assert_eq!(register.verdict(Digest(1), at(10_000)), expected);
    assert_eq!(register.verdict(Digest(2), at(10_000)), Verdict::Allowed);
}

/// A trial that met an engine which had just ended, or a caller that left, tells nothing: it is made again soon, but
/// not again and again, since it may have reached an engine.
#[test]
fn trial_that_tells_nothing_is_made_once_more_soon() {
    let mut history = history(in_a_row(3));
    let mut sent = Vec::new();
    for now in (2_500..20 * MINUTE).step_by(500) {
        if history.verdict(true, at(now)) == Verdict::Trial {
            history.begin_trial(at(now));
            sent.push(now);
        }
    }
    assert_eq!(sent, [7_500, 17_500, 617_500]);
}

/// Two nodes begin one at the same moment: both count.
#[test]
fn trials_of_two_nodes_at_the_same_moment_count_twice() {
    let mut one = history(in_a_row(3));
    let mut other = one.clone();
    for (history, engine) in [(&mut one, "t1"), (&mut other, "t2")] {
        history.begin_trial(at(2 * MINUTE));
        history.record_crash(crash(engine, 2 * MINUTE, 2 * MINUTE + 100));
    }
    one.merge(&other);
    let refused = one.verdict(false, at(30 * MINUTE));
    assert!(matches!(refused, Verdict::Refused { .. }), "{refused:?}");
    assert_eq!(one.verdict(false, at(2 * DAY)), Verdict::Trial);
}

#[test]
fn trial_that_comes_to_a_good_end_frees_the_request() {
    let mut history = history(in_a_row(3));
    history.begin_trial(at(2 * MINUTE));
    history.record_success(at(2 * MINUTE + 100));
    assert_eq!(
        history.verdict(false, at(2 * MINUTE + 200)),
        Verdict::Allowed
    );
    assert_eq!(history.trials, 0);
}

/// Runs that were under way when the third engine ended are no trials.
#[test]
fn ends_under_runs_that_had_begun_before_the_news_are_no_trials() {
    let mut history = history(in_a_row(3));
    for index in 0..6 {
        let began = 2_200 + index * 100;
        history.record_crash(crash(&format!("l{index}"), began, began + 90));
    }
    assert_eq!(history.crashes.len(), 3);
    assert_eq!(history.verdict(false, at(11 * MINUTE)), Verdict::Trial);
}

/// Each end is seen by another node, and all tell each other in any order.
#[test]
fn nodes_come_to_the_same_verdict_in_whatever_order_they_hear() {
    let orders = [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ];
    for order in orders {
        let crashes = in_a_row(3);
        let mut merged = History::default();
        for index in order {
            let told = history([crashes[index].clone()]);
            assert!(merged.merge(&told), "{order:?}");
            assert!(!merged.merge(&told), "{order:?}");
        }
        assert_eq!(merged, history(crashes), "{order:?}");
    }
}

/// A node that had taken two of the ends for one, since they were told late, goes by the verdict of another.
#[test]
fn verdict_of_another_node_holds_here_too() {
    let mut own = history([crash("e0", 0, 100), crash("e1", 20, 120)]);
    assert!(own.merge(&history(in_a_row(3))));
    assert!(own.is_blocked());
}

#[test]
fn verdict_from_before_a_good_run_does_not_come_back() {
    let told = history(in_a_row(3));
    let mut own = History::default();
    own.record_success(at(5_000));
    assert!(!own.merge(&told));
    assert!(!own.is_blocked());
}

/// A caller can send a million bodies, but each entry needs an engine that has ended.
#[test]
fn register_is_bounded_and_keeps_what_is_held_back() {
    let mut register = Register::default();
    for crash in in_a_row(3) {
        register.record_crash(Digest(0), crash, at(2_100));
    }
    for index in 1..5_000 {
        let now = at(3_000 + index);
        let crash = crash("e9", 3_000 + index, 3_000 + index);
        register.record_crash(Digest(u128::from(index)), crash, now);
    }
    assert!(register.count() <= 1_024);
    assert_eq!(register.blocked().collect::<Vec<_>>(), [Digest(0)]);
}

#[test]
fn request_is_forgotten_some_time_after_its_last_end() {
    let mut register = Register::default();
    register.record_crash(Digest(1), crash("e1", 0, 100), at(100));
    for crash in in_a_row(3) {
        register.record_crash(Digest(2), crash, at(2_100));
    }
    register.forget(at(59 * MINUTE));
    assert_eq!(register.count(), 2);
    register.forget(at(61 * MINUTE));
    assert!(register.get(Digest(1)).is_none());
    assert!(register.get(Digest(2)).is_some());
    register.forget(at(3 * DAY));
    assert!(register.is_empty());
}

/// Nodes tell each other of what is held back every second or so, and do not forget it within the same one.
#[test]
fn what_was_forgotten_does_not_come_back_with_the_news_of_others() {
    let told = history(in_a_row(3));
    let mut register = Register::default();
    assert!(register.merge(Digest(1), &told, at(DAY)));
    assert!(!register.merge(Digest(1), &told, at(2 * DAY - MINUTE)));
    register.forget(at(3 * DAY));
    assert!(!register.merge(Digest(1), &told, at(3 * DAY)));
    assert!(register.is_empty());
}

/// Guards against trials that end each other: two requests stood at the same ends, and what tells them apart is which of
/// them is alone at the next one.
#[test]
fn requests_that_share_ends_are_not_tried_at_the_same_moment() {
    let mut register = Register::default();
    for digest in [Digest(1), Digest(2)] {
        for crash in in_a_row(3) {
            register.record_crash(digest, crash, at(2_100));
        }
    }
    let now = 2_100 + 5_000;
    assert_eq!(register.verdict(Digest(1), at(now)), Verdict::Trial);
    assert_eq!(register.verdict(Digest(2), at(now)), Verdict::Trial);
    let history = register.get_mut(Digest(1)).expect("known");
    history.begin_trial(at(now));
    let refused = register.verdict(Digest(2), at(now + 500));
    let retry_after = Duration::from_millis(1_500);
    assert_eq!(refused, Verdict::Refused { retry_after });
    assert_eq!(register.verdict(Digest(2), at(now + 2_000)), Verdict::Trial);
}

/// Guards against a good request that is held back since a node which has just started sent it to engines that had ended.
#[test]
fn ends_of_engines_that_may_have_ended_before_prove_nothing() {
    let unproven = in_a_row(8).into_iter().map(|crash| Crash {
        is_unproven: true,
        ..crash
    });
    let mut own = history(unproven);
    assert!(!own.is_blocked());
    // Another node knows of three of them that they had not.
    for crash in in_a_row(3) {
        assert!(own.record_crash(crash));
    }
    assert!(own.is_blocked());
}

/// Guards against a bad request that runs on, since what proves nothing stands between its ends.
#[test]
fn ends_that_prove_nothing_do_not_stand_in_the_way_of_others() {
    let unproven = |crash: Crash| Crash {
        engine: BackEndName::new(format!("before-{}", crash.engine)),
        ended: crash.ended.before(Duration::from_millis(50)),
        is_unproven: true,
        ..crash
    };
    let before = in_a_row(3).into_iter().map(unproven);
    let all: Vec<_> = before.chain(in_a_row(3)).collect();
    assert_eq!(history(all).blocked_at(), Some(at(2_100)));
}
