//! Rollouts of weights while engines can't be reached, on a virtual clock.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::engines::{Engine, EngineTable};
use ryerouter_gateway::rollout::{
    EngineReport, OrderOutcome, PublicationTime, RolloutAction, RolloutPlanner, RolloutSettings,
    WeightsDeadlines,
};
use support::records::engine;
use support::test_dialect::MODEL;
use yare::parameterized;

const GRACE: Duration = Duration::from_secs(7);
const LOAD: Duration = Duration::from_millis(630);
/// A call to an engine that can't be reached fails after this time.
const CALL_LIMIT: Duration = Duration::from_millis(500);
const ANSWER: Duration = Duration::from_millis(2);
const TICK: Duration = Duration::from_millis(50);

/// An answer to a call of the planner.
enum Answer {
    Report(Option<EngineReport>),
    Order(OrderOutcome),
}

/// A planner that holds the lease, before engines of which some can't be reached.
struct Rollout {
    planner: RolloutPlanner,
    engines: EngineTable,
    deadlines: WeightsDeadlines,
    now: Timestamp,
    unreachable: BTreeSet<BackEndName>,
    newest: u64,
    /// How long a load takes.
    load: Duration,
    /// Engines that take orders and don't load.
    broken: BTreeSet<BackEndName>,
    /// Weights of the engines; the planner learns of them from reports only.
    weights: BTreeMap<BackEndName, u64>,
    /// Loads in progress: when they end.
    loading: BTreeMap<BackEndName, Timestamp>,
    orders_taken: BTreeMap<BackEndName, u64>,
    answers: Vec<(Timestamp, BackEndName, Answer)>,
    most_at_once: usize,
    calls_to_unreachable: usize,
}

impl Rollout {
    /// Version 2 is named now, and all engines have version 1.
    fn new(engines: usize) -> Self {
        let mut table = EngineTable::default();
        for index in 0..engines {
            let address = format!("127.0.0.1:{}", 1_000 + index).parse().unwrap();
            table.upsert(engine(&format!("e{index:02}"), address, 1));
        }
        let now = Timestamp::from_millis(1_000_000);
        let mut deadlines = WeightsDeadlines::new(GRACE);
        deadlines.note(MODEL, 2, PublicationTime::Seen(now));
        Self {
            planner: RolloutPlanner::new(RolloutSettings::default()),
            engines: table,
            deadlines,
            now,
            unreachable: BTreeSet::new(),
            broken: BTreeSet::new(),
            newest: 2,
            load: LOAD,
            weights: BTreeMap::new(),
            loading: BTreeMap::new(),
            orders_taken: BTreeMap::new(),
            answers: Vec::new(),
            most_at_once: 0,
            calls_to_unreachable: 0,
        }
    }

    /// The first `count` engines can't be reached from now on.
    fn cut(&mut self, count: usize) {
        let names = self.engines.iter().map(|engine| engine.entry.name.clone());
        self.unreachable = names.take(count).collect();
    }

    /// Requests to the engines that can't be reached fail, which ejects them.
    fn eject_unreachable(&mut self) {
        for name in &self.unreachable {
            let engine = self.engines.get_mut(name).unwrap();
            engine.health.unreachable(self.now);
        }
    }

    /// All engines can be reached again. No request notices, since none may go to them.
    fn heal(&mut self) {
        self.unreachable.clear();
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now.after(duration);
        while self.now < end {
            self.now = self.now.after(TICK);
            self.deliver_answers();
            self.end_loads();
            let mut actions = Vec::new();
            self.planner
                .advance(&self.engines, &self.deadlines, self.now, &mut actions);
            self.carry_out(actions);
            self.most_at_once = self.most_at_once.max(self.loading.len());
        }
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        let answers = std::mem::take(&mut self.answers);
        let (due, later) = answers.into_iter().partition(|(at, ..)| *at <= now);
        self.answers = later;
        for (_, name, answer) in due {
            let mut actions = Vec::new();
            match answer {
                Answer::Report(report) => {
                    self.planner
                        .reported(&name, report.as_ref(), now, &mut actions);
                }
                Answer::Order(outcome) => {
                    self.planner.ordered(&name, outcome, now, &mut actions);
                }
            }
            self.carry_out(actions);
        }
    }

    fn end_loads(&mut self) {
        let now = self.now;
        self.loading.retain(|name, end| {
            let has_ended = *end <= now;
            if has_ended {
                self.weights.insert(name.clone(), self.newest);
            }
            !has_ended
        });
    }

    fn carry_out(&mut self, actions: Vec<RolloutAction>) {
        for action in actions {
            let (name, answer) = match action {
                RolloutAction::Ask(name) => {
                    let report = self.report_of(&name);
                    (name, Answer::Report(report))
                }
                RolloutAction::Order(order) => {
                    let outcome = self.order(&order.engine);
                    (order.engine, Answer::Order(outcome))
                }
                RolloutAction::Loaded {
                    engine, version, ..
                } => {
                    let engine = self.engines.get_mut(&engine).unwrap();
                    engine.note_weights(MODEL, version);
                    continue;
                }
                RolloutAction::Announce { .. } => continue,
            };
            let is_unreachable = self.unreachable.contains(&name);
            self.calls_to_unreachable += usize::from(is_unreachable);
            let after = if is_unreachable { CALL_LIMIT } else { ANSWER };
            self.answers.push((self.now.after(after), name, answer));
        }
    }

    fn report_of(&self, name: &BackEndName) -> Option<EngineReport> {
        let is_reachable = !self.unreachable.contains(name);
        let weights = self.weights.get(name).copied().unwrap_or(1);
        is_reachable.then(|| EngineReport {
            weights: [(MODEL.to_owned(), weights)].into(),
            is_busy: self.loading.contains_key(name),
            orders_taken: self.orders_taken.get(name).copied().unwrap_or_default(),
            incarnation: None,
        })
    }

    fn order(&mut self, name: &BackEndName) -> OrderOutcome {
        if self.unreachable.contains(name) {
            return OrderOutcome::Unknown;
        }
        *self.orders_taken.entry(name.clone()).or_default() += 1;
        if self.broken.contains(name) {
            return OrderOutcome::Accepted;
        }
        self.loading.insert(name.clone(), self.now.after(self.load));
        OrderOutcome::Accepted
    }

    fn loaded(&self) -> usize {
        let has_newest = |engine: &&Engine| engine.weights_of(MODEL) == Some(self.newest);
        self.engines.iter().filter(has_newest).count()
    }
}

/// Nobody sent these engines a request after the deadline of their weights, so nothing but the
/// rollout itself could notice that they can be reached again.
#[parameterized(
    some = { 48 },
    all = { 60 },
)]
fn rollout_goes_on_at_engines_that_were_ejected_when_their_weights_ran_out(cut: usize) {
    let mut rollout = Rollout::new(60);
    rollout.cut(cut);
    rollout.eject_unreachable();
    rollout.run_for(GRACE + Duration::from_secs(3));
    assert_eq!(rollout.loaded(), 60 - cut);
    rollout.heal();
    rollout.run_for(Duration::from_secs(10));
    assert_eq!(rollout.loaded(), 60);
}

/// The engines that can't be reached come first in the order in which engines load.
#[parameterized(
    ejected = { true },
    unnoticed = { false },
)]
fn unreachable_engines_do_not_hold_up_the_load_of_the_others(is_noticed: bool) {
    let mut rollout = Rollout::new(60);
    rollout.cut(30);
    if is_noticed {
        rollout.eject_unreachable();
    }
    rollout.run_for(GRACE);
    assert_eq!(rollout.loaded(), 30);
}

#[test]
fn no_more_engines_load_at_once_when_unreachable_ones_come_back() {
    let mut rollout = Rollout::new(60);
    rollout.cut(48);
    rollout.eject_unreachable();
    rollout.run_for(GRACE);
    rollout.heal();
    rollout.run_for(Duration::from_secs(10));
    let settings = RolloutSettings::default();
    let most = (settings.most_share_at_once * 60.0).ceil() as usize;
    assert!(rollout.most_at_once <= most, "{}", rollout.most_at_once);
    assert_eq!(rollout.loaded(), 60);
}

/// Each call to an engine that can't be reached costs its node a connection attempt.
#[test]
fn engines_that_stay_unreachable_are_asked_at_a_bounded_rate() {
    let mut rollout = Rollout::new(60);
    rollout.cut(48);
    rollout.run_for(GRACE + Duration::from_secs(10));
    let before = rollout.calls_to_unreachable;
    rollout.run_for(Duration::from_secs(10));
    let calls = rollout.calls_to_unreachable - before;
    assert!((48..=5 * 48).contains(&calls), "{calls}");
}

#[test]
fn engine_that_loads_late_does_not_slow_the_next_rollout_down() {
    let mut rollout = Rollout::new(60);
    let late = rollout.engines.iter().next().unwrap().entry.name.clone();
    rollout.broken.insert(late);
    rollout.run_for(Duration::from_secs(60));
    assert_eq!(rollout.loaded(), 59);
    rollout.broken.clear();
    rollout.run_for(Duration::from_secs(5));
    assert_eq!(rollout.loaded(), 60);
    rollout.newest = 3;
    let named = PublicationTime::Seen(rollout.now);
    rollout.deadlines.note(MODEL, 3, named);
    rollout.run_for(GRACE);
    assert_eq!(rollout.loaded(), 60);
}

/// Twice as many as usual may load where loads take longer than expected, since an engine that is
/// stuck in its load must not hold up the others.
#[parameterized(
    slow = { 8 },
    slower = { 12 },
    very_slow = { 20 },
    slowest = { 40 },
)]
fn slow_loads_do_not_make_ever_more_engines_load_at_once(seconds: u64) {
    let mut rollout = Rollout::new(60);
    rollout.load = Duration::from_secs(seconds);
    rollout.run_for(Duration::from_secs(300));
    assert_eq!(rollout.loaded(), 60);
    let settings = RolloutSettings::default();
    let most = (settings.most_share_at_once * 60.0).ceil() as usize;
    assert!(rollout.most_at_once <= 2 * most, "{}", rollout.most_at_once);
}
