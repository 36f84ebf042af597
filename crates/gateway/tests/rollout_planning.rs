//! Which engines are asked, ordered and waited for in a rollout of weights, on a virtual clock.

mod support;

use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::rollout::{
    EngineReport, OrderOutcome, PublicationTime, RolloutAction, RolloutSettings,
};
use support::planned_rollout::{Rollout, at};
use support::test_dialect::MODEL;
use yare::parameterized;

fn expected_orders(actions: &[RolloutAction]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        RolloutAction::Order(order) => Some(order.expected_orders),
        _ => None,
    })
}

#[test]
fn engine_is_asked_before_it_is_ordered_and_the_order_carries_its_count() {
    let mut rollout = Rollout::due(1);
    let ask = RolloutAction::Ask(BackEndName::new("e00"));
    assert_eq!(rollout.advance(0), [ask]);
    assert_eq!(
        expected_orders(&rollout.report_and_advance("e00", 5, 1, 10)),
        Some(5)
    );
}

#[test]
fn conflict_is_settled_by_another_report() {
    let mut rollout = Rollout::due(1);
    rollout.advance(0);
    rollout.report_and_advance("e00", 5, 1, 10);
    rollout.ordered("e00", OrderOutcome::Conflict, 20);
    let asks = rollout.advance(200);
    assert_eq!(asks.len(), 1);
    assert_eq!(
        expected_orders(&rollout.report_and_advance("e00", 6, 1, 210)),
        Some(6)
    );
}

#[test]
fn order_without_an_answer_is_not_repeated_before_a_report_can_show_it() {
    let mut rollout = Rollout::due(1);
    rollout.advance(0);
    rollout.report_and_advance("e00", 0, 1, 10);
    rollout.ordered("e00", OrderOutcome::Unknown, 700);
    assert_eq!(rollout.advance(700).len(), 1);
    let early = rollout.report_and_advance("e00", 0, 1, 720);
    assert_eq!(expected_orders(&early), None);
    rollout.advance(950);
    // The same count: if the lost order is carried out late, only one of both runs.
    let late = rollout.report_and_advance("e00", 0, 1, 960);
    assert_eq!(expected_orders(&late), Some(0));
}

#[parameterized(
    in_good_time = { 0, 2 },
    when_time_runs_out = { 4_500, 3 },
)]
fn no_more_engines_load_at_once_than_needed(millis: u64, expected: usize) {
    let mut rollout = Rollout::new(12);
    assert_eq!(rollout.advance(millis).len(), expected);
}

#[test]
fn order_waits_until_waiting_requests_have_begun_but_not_for_long() {
    let mut rollout = Rollout::due(1);
    rollout.advance(0);
    let name = BackEndName::new("e00");
    let engine = rollout.engines.get_mut(&name).unwrap();
    engine.foreign_load.unread_tokens = 500;
    let announced = rollout.report("e00", 0, 1, 10);
    assert!(matches!(
        announced[..],
        [RolloutAction::Announce { version: 2, .. }]
    ));
    assert_eq!(expected_orders(&rollout.advance(20)), None);
    let engine = rollout.engines.get_mut(&name).unwrap();
    engine.foreign_load.unread_tokens = 0;
    assert_eq!(expected_orders(&rollout.advance(30)), Some(0));

    let mut rollout = Rollout::due(1);
    rollout.advance(0);
    let engine = rollout.engines.get_mut(&name).unwrap();
    engine.foreign_load.unread_tokens = 500;
    rollout.report("e00", 0, 1, 10);
    assert_eq!(expected_orders(&rollout.advance(400)), None);
    assert_eq!(expected_orders(&rollout.advance(410)), Some(0));
}

#[test]
fn silent_engine_does_not_hold_up_the_others() {
    let mut rollout = Rollout::due(2);
    let first = rollout.advance(0);
    let RolloutAction::Ask(silent) = &first[0] else {
        panic!("not asked: {first:?}");
    };
    let mut actions = Vec::new();
    rollout
        .planner
        .reported(silent, None, at(500), &mut actions);
    let next = rollout.advance(510);
    assert_eq!(next.len(), 1);
    assert_ne!(next[0], RolloutAction::Ask(silent.clone()));
}

#[test]
fn engines_that_do_not_answer_take_turns_after_all_others() {
    let mut rollout = Rollout::due(20);
    let is_silent = |name: &BackEndName| name.as_str() < "e16";
    let mut asked = Vec::new();
    for millis in (0..6_000).step_by(500) {
        for action in rollout.advance(millis) {
            let RolloutAction::Ask(name) = action else {
                continue;
            };
            let report = EngineReport {
                is_busy: true,
                ..EngineReport::default()
            };
            let report = Some(&report).filter(|_| !is_silent(&name));
            let at = at(millis + 499);
            rollout.planner.reported(&name, report, at, &mut Vec::new());
            asked.push(name);
        }
    }
    let times = |name: usize| {
        let name = BackEndName::new(format!("e{name:02}"));
        asked.iter().filter(|asked| **asked == name).count()
    };
    assert!((0..20).all(|engine| times(engine) > 0), "{asked:?}");
}

#[test]
fn rollout_stays_due_for_engines_that_do_not_answer_and_begins_no_earlier_for_the_others() {
    let mut rollout = Rollout::new(2);
    rollout
        .deadlines
        .note(MODEL, 3, PublicationTime::Seen(at(4_000)));
    let newer = BackEndName::new("e01");
    let engine = rollout.engines.get_mut(&newer).unwrap();
    engine.note_weights(MODEL, 2);
    let late = BackEndName::new("e00");
    assert_eq!(rollout.advance(5_000), [RolloutAction::Ask(late.clone())]);
    rollout
        .planner
        .reported(&late, None, at(5_500), &mut Vec::new());
    assert_eq!(rollout.advance(6_300), [RolloutAction::Ask(late)]);
    assert_eq!(rollout.advance(7_400), []);
    assert_eq!(rollout.advance(7_500), [RolloutAction::Ask(newer)]);
}

#[test]
fn engine_is_out_of_reach_once_it_has_not_answered_twice_and_until_it_answers() {
    let mut rollout = Rollout::due(1);
    let name = BackEndName::new("e00");
    let unanswered = |rollout: &Rollout| rollout.planner.unanswered().cloned().collect::<Vec<_>>();
    let silence = |rollout: &mut Rollout, millis| {
        assert_eq!(rollout.advance(millis), [RolloutAction::Ask(name.clone())]);
        let at = at(millis + 500);
        rollout.planner.reported(&name, None, at, &mut Vec::new());
    };
    silence(&mut rollout, 0);
    assert_eq!(unanswered(&rollout), []);
    silence(&mut rollout, 1_300);
    assert_eq!(unanswered(&rollout), std::slice::from_ref(&name));
    // It rests for longer after the second.
    assert_eq!(rollout.advance(3_100), []);
    rollout.advance(3_300);
    assert_eq!(unanswered(&rollout), std::slice::from_ref(&name));
    rollout.report("e00", 0, 1, 3_310);
    assert_eq!(unanswered(&rollout), []);
}

#[test]
fn engine_that_has_its_weights_is_not_missed() {
    let mut rollout = Rollout::due(1);
    let name = BackEndName::new("e00");
    for millis in [0, 1_300] {
        rollout.advance(millis);
        let at = at(millis + 500);
        rollout.planner.reported(&name, None, at, &mut Vec::new());
    }
    assert_eq!(rollout.planner.unanswered().count(), 1);
    let engine = rollout.engines.get_mut(&name).unwrap();
    engine.note_weights(MODEL, 2);
    rollout.advance(2_000);
    assert_eq!(rollout.planner.unanswered().count(), 0);
}

#[test]
fn rollout_ends_when_all_engines_have_the_weights() {
    let mut rollout = Rollout::due(1);
    rollout.advance(0);
    rollout.report_and_advance("e00", 0, 1, 10);
    rollout.ordered("e00", OrderOutcome::Accepted, 20);
    let done = rollout.report("e00", 1, 2, 900);
    assert!(matches!(
        done[..],
        [RolloutAction::Loaded { version: 2, .. }]
    ));
    let name = BackEndName::new("e00");
    rollout
        .engines
        .get_mut(&name)
        .unwrap()
        .note_weights(MODEL, 2);
    assert_eq!(rollout.advance(910), []);
    assert!(rollout.planner.is_idle());
}

#[test]
fn load_that_a_list_shows_is_told_to_everybody() {
    let mut rollout = Rollout::due(1);
    rollout.advance(0);
    rollout.report_and_advance("e00", 0, 1, 10);
    rollout.ordered("e00", OrderOutcome::Accepted, 20);
    let name = BackEndName::new("e00");
    let engine = rollout.engines.get_mut(&name).unwrap();
    engine.note_weights(MODEL, 2);
    assert!(matches!(
        rollout.advance(900)[..],
        [RolloutAction::Loaded { version: 2, .. }]
    ));
}

#[test]
fn long_load_is_announced_again_before_others_stop_believing_it() {
    let mut rollout = Rollout::due(1);
    rollout.advance(0);
    rollout.report_and_advance("e00", 0, 1, 10);
    rollout.ordered("e00", OrderOutcome::Accepted, 20);
    let expected = RolloutSettings::default().expected_load.as_millis() as u64;
    let mut announced_at = vec![10];
    for millis in (100..3 * expected).step_by(100) {
        let report = EngineReport {
            weights: [(MODEL.to_owned(), 1)].into(),
            is_busy: true,
            orders_taken: 1,
            incarnation: None,
        };
        let mut actions = Vec::new();
        let name = BackEndName::new("e00");
        rollout
            .planner
            .reported(&name, Some(&report), at(millis), &mut actions);
        let is_announcement =
            |action: &RolloutAction| matches!(action, RolloutAction::Announce { version: 2, .. });
        if actions.iter().any(is_announcement) {
            announced_at.push(millis);
        }
    }
    let gaps = announced_at.windows(2).map(|pair| pair[1] - pair[0]);
    let gaps: Vec<_> = gaps.collect();
    assert!(
        gaps.len() >= 4 && gaps.iter().all(|gap| *gap < expected),
        "{gaps:?}"
    );
}

#[test]
fn order_without_an_answer_or_effect_keeps_no_other_engine_from_loading() {
    let mut rollout = Rollout::due(5);
    assert_eq!(rollout.advance(0).len(), 1);
    rollout.report_and_advance("e00", 0, 1, 10);
    assert_eq!(rollout.advance(20), []);
    rollout.ordered("e00", OrderOutcome::Unknown, 700);
    let next = rollout.advance(700);
    let ask = RolloutAction::Ask(BackEndName::new("e01"));
    assert!(next.contains(&ask), "{next:?}");
    // Once a report shows that the engine loads, it counts again.
    let report = EngineReport {
        weights: [(MODEL.to_owned(), 1)].into(),
        is_busy: true,
        orders_taken: 1,
        incarnation: None,
    };
    let name = BackEndName::new("e00");
    rollout
        .planner
        .reported(&name, Some(&report), at(720), &mut Vec::new());
    rollout
        .planner
        .reported(&BackEndName::new("e01"), None, at(730), &mut Vec::new());
    assert_eq!(rollout.advance(740), []);
}

/// Three engines of which one loads at a time. The first is asked at 0 and never has the new weights.
fn play_failing_first_engine(millis: u64, outcome: OrderOutcome, is_busy: bool) -> Vec<String> {
    let mut rollout = Rollout::due(3);
    let failing = BackEndName::new("e00");
    let mut asked = Vec::new();
    let mut actions = rollout.advance(0);
    for now in (0..millis).step_by(50) {
        for action in std::mem::take(&mut actions) {
            match action {
                RolloutAction::Ask(name) if name == failing => {
                    let report = EngineReport {
                        weights: [(MODEL.to_owned(), 1)].into(),
                        is_busy,
                        orders_taken: 1,
                        incarnation: None,
                    };
                    rollout
                        .planner
                        .reported(&failing, Some(&report), at(now), &mut actions);
                }
                RolloutAction::Ask(name) => {
                    asked.push(name.to_string());
                    actions.extend(rollout.report(name.as_str(), 0, 2, now));
                    let engine = rollout.engines.get_mut(&name).unwrap();
                    engine.note_weights(MODEL, 2);
                }
                RolloutAction::Order(order) => {
                    rollout.ordered(order.engine.as_str(), outcome, now);
                }
                RolloutAction::Announce { .. } | RolloutAction::Loaded { .. } => {}
            }
        }
        actions.extend(rollout.advance(now + 50));
    }
    asked
}

#[parameterized(
    load_that_fails_each_time = { OrderOutcome::Accepted, false },
    load_that_never_ends = { OrderOutcome::Accepted, true },
    order_that_is_never_taken = { OrderOutcome::Conflict, false },
)]
fn engine_that_never_loads_does_not_hold_up_the_others(outcome: OrderOutcome, is_busy: bool) {
    let longest = 2 * RolloutSettings::default().expected_load.as_millis() as u64;
    let in_time = play_failing_first_engine(longest - 100, outcome, is_busy);
    assert!(in_time.is_empty(), "{in_time:?} beside a load");
    let later = play_failing_first_engine(longest + 1_000, outcome, is_busy);
    assert_eq!(later, ["e01", "e02"]);
}

/// The version that the first order names after a newer one was named while an order was open.
fn next_version_after_a_failed_load(outcome: OrderOutcome) -> Option<u64> {
    let mut rollout = Rollout::due(1);
    rollout.advance(0);
    rollout.report_and_advance("e00", 0, 1, 10);
    rollout.ordered("e00", outcome, 20);
    let named = PublicationTime::Seen(at(100));
    rollout.deadlines.note(MODEL, 3, named);
    for millis in (100..20_000).step_by(100) {
        rollout.advance(millis);
        let actions = rollout.report_and_advance("e00", 1, 1, millis);
        let ordered = actions.iter().find_map(|action| match action {
            RolloutAction::Order(order) => Some(order.version),
            _ => None,
        });
        if ordered.is_some() {
            return ordered;
        }
    }
    None
}

#[parameterized(
    load_that_fails = { OrderOutcome::Accepted },
    order_that_is_not_taken = { OrderOutcome::Conflict },
    order_without_an_answer = { OrderOutcome::Unknown },
)]
fn engine_that_can_not_load_one_version_is_ordered_the_next(outcome: OrderOutcome) {
    assert_eq!(next_version_after_a_failed_load(outcome), Some(3));
}

#[test]
fn news_of_the_version_before_do_not_end_a_load() {
    let mut rollout = Rollout::new(1);
    let name = BackEndName::new("e00");
    let engine = rollout.engines.get_mut(&name).unwrap();
    engine.note_loading(MODEL, 2, at(3_000));
    engine.note_weights(MODEL, 1);
    assert!(engine.is_loading(at(100)) && !engine.takes_work(at(100)));
    engine.note_misdirected(None, at(300));
    assert!(!engine.takes_work(at(1_000)));
    engine.note_weights(MODEL, 2);
    assert!(!engine.is_loading(at(1_000)) && engine.takes_work(at(1_000)));
    // A late announcement of what it has is no load.
    engine.note_loading(MODEL, 2, at(9_000));
    assert!(!engine.is_loading(at(1_000)));
}

#[test]
fn load_that_was_ordered_before_the_lease_was_lost_is_still_told() {
    let mut rollout = Rollout::due(1);
    rollout.advance(0);
    rollout.report_and_advance("e00", 0, 1, 10);
    rollout.ordered("e00", OrderOutcome::Accepted, 20);
    rollout.planner.reset();
    let observe = |rollout: &mut Rollout, millis| {
        let mut actions = Vec::new();
        rollout.planner.observe(at(millis), &mut actions);
        actions
    };
    let ask = [RolloutAction::Ask(BackEndName::new("e00"))];
    assert_eq!(observe(&mut rollout, 100), ask);
    assert_eq!(observe(&mut rollout, 110), []);
    // Without the lease it is not ordered again, whatever it says.
    assert_eq!(rollout.report("e00", 0, 1, 120), []);
    assert_eq!(observe(&mut rollout, 300), ask);
    assert!(matches!(
        rollout.report("e00", 1, 2, 310)[..],
        [RolloutAction::Loaded { version: 2, .. }]
    ));
    assert_eq!(observe(&mut rollout, 900), []);
}
