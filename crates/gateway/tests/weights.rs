//! Named weights: until when older ones may be used, and how engines are brought to the newest.

mod support;

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, PoolName};
use ryerouter_gateway::engines::{Engine, EngineLoad, EngineTable, StartDelays};
use ryerouter_gateway::rollout::{
    EngineReport, OrderOutcome, PublicationTime, RolloutAction, RolloutPlanner, RolloutSettings,
    WeightsDeadlines,
};
use support::records::{POOL, engine};
use support::test_dialect::MODEL;
use yare::parameterized;

const GRACE: Duration = Duration::from_secs(7);
/// How long an engine loads.
const LOAD_MILLIS: u64 = 650;
/// How often the planner is run.
const STEP_MILLIS: u64 = 50;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

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

struct Rollout {
    planner: RolloutPlanner,
    engines: EngineTable,
    deadlines: WeightsDeadlines,
}

impl Rollout {
    /// Version 2 was named so long ago that its rollout is due at time 0.
    fn due(engines: usize) -> Self {
        let mut rollout = Self::new(engines);
        let named = at(0).before(Duration::from_secs(5));
        rollout.deadlines = WeightsDeadlines::new(GRACE);
        rollout
            .deadlines
            .note(MODEL, 2, PublicationTime::Seen(named));
        rollout
    }

    fn new(engines: usize) -> Self {
        let mut table = EngineTable::default();
        for index in 0..engines {
            let address = format!("127.0.0.1:{}", 1_000 + index).parse().unwrap();
            table.upsert(engine(&format!("e{index:02}"), address, 1));
        }
        let mut deadlines = WeightsDeadlines::new(GRACE);
        deadlines.note(MODEL, 2, PublicationTime::Seen(at(0)));
        Self {
            planner: RolloutPlanner::new(RolloutSettings::default()),
            engines: table,
            deadlines,
        }
    }

    fn advance(&mut self, millis: u64) -> Vec<RolloutAction> {
        let mut actions = Vec::new();
        self.planner
            .advance(&self.engines, &self.deadlines, at(millis), &mut actions);
        actions
    }

    fn report(&mut self, name: &str, taken: u64, weights: u64, millis: u64) -> Vec<RolloutAction> {
        let report = EngineReport {
            weights: [(MODEL.to_owned(), weights)].into(),
            is_busy: false,
            orders_taken: taken,
            incarnation: None,
        };
        let mut actions = Vec::new();
        let name = BackEndName::new(name);
        self.planner
            .reported(&name, Some(&report), at(millis), &mut actions);
        actions
    }

    /// A report after which the order is due: announced, then given once nothing waits.
    fn report_and_advance(
        &mut self,
        name: &str,
        taken: u64,
        weights: u64,
        millis: u64,
    ) -> Vec<RolloutAction> {
        let mut actions = self.report(name, taken, weights, millis);
        actions.extend(self.advance(millis + 1));
        actions
    }

    /// Loads engines as ordered, while the source is in trouble every `interval`; returns when the
    /// last of them has loaded, if all do.
    fn loaded_at(&mut self, interval: Duration, limit: Duration) -> Option<Duration> {
        let mut loading: Vec<(BackEndName, u64)> = Vec::new();
        for millis in (0..limit.as_millis() as u64).step_by(STEP_MILLIS as usize) {
            if millis.is_multiple_of(interval.as_millis() as u64) {
                self.deadlines.extend_from(at(millis));
            }
            loading.retain(|(name, done)| {
                let is_done = *done <= millis;
                if is_done {
                    self.engines.get_mut(name).unwrap().note_weights(MODEL, 2);
                }
                !is_done
            });
            let has_loaded = |engine: &Engine| engine.weights_of(MODEL) == Some(2);
            if self.engines.iter().all(has_loaded) {
                return Some(Duration::from_millis(millis));
            }
            for action in self.advance(millis) {
                match action {
                    RolloutAction::Ask(name) => {
                        self.report(name.as_str(), 0, 1, millis);
                    }
                    RolloutAction::Order(order) => {
                        let name = order.engine.as_str();
                        self.ordered(name, OrderOutcome::Accepted, millis);
                        loading.push((order.engine, millis + LOAD_MILLIS));
                    }
                    RolloutAction::Announce { .. } | RolloutAction::Loaded { .. } => {}
                }
            }
        }
        None
    }

    fn ordered(&mut self, name: &str, outcome: OrderOutcome, millis: u64) {
        let mut actions = Vec::new();
        let name = BackEndName::new(name);
        self.planner
            .ordered(&name, outcome, at(millis), &mut actions);
    }
}

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
