//! How far a rollout is and whether it stands still, in counts, the log and a gauge; on a virtual clock.

mod support;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, FencingNumber};
use ryerouter_gateway::engines::{Engine, EngineState, EngineTable};
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::rollout::{
    BehindReason, EngineOrders, EngineReport, OrderOutcome, PublicationTime, RolloutPlanner,
    RolloutSettings, RolloutStanding, WeightsDeadlines, WeightsOrder, run_rollouts,
};
use support::gateway_bench::{configure, gateway_logging_to, list_engines, run_paused};
use support::log_lines::{LogLines, value};
use support::one_lease::{OneLease, SETTINGS};
use support::records::{engine, table};
use support::test_dialect::MODEL;
use tokio::task::spawn_local;
use tokio::time::sleep;
use yare::parameterized;

const GRACE: Duration = Duration::from_secs(7);
const OTHER_MODEL: &str = "other-model";

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn engines(count: usize) -> EngineTable {
    let mut table = EngineTable::default();
    for index in 0..count {
        let address = "127.0.0.1:1".parse().unwrap();
        table.upsert(engine(&format!("e{index}"), address, 1));
    }
    table
}

fn deadlines(version: u64) -> WeightsDeadlines {
    let mut deadlines = WeightsDeadlines::new(GRACE);
    deadlines.note(MODEL, version, PublicationTime::Seen(at(0)));
    deadlines
}

fn planner() -> RolloutPlanner {
    RolloutPlanner::new(RolloutSettings::default())
}

fn counts(standing: &RolloutStanding) -> Vec<(BehindReason, usize)> {
    let counts = BehindReason::ALL.map(|reason| (reason, standing.count(reason)));
    counts.into_iter().filter(|(_, count)| *count > 0).collect()
}

fn eject(engine: &mut Engine) {
    engine.health.unreachable(at(8_000));
}

fn unlist(engine: &mut Engine) {
    engine.is_unlisted = true;
}

fn drain(engine: &mut Engine) {
    engine.entry.state = EngineState::Draining;
}

#[parameterized(
    nothing = { |_| {}, BehindReason::Waiting, 2 },
    ejected = { eject, BehindReason::Suspect, 2 },
    unlisted = { unlist, BehindReason::Unlisted, 2 },
    leaving = { drain, BehindReason::Leaving, 1 },
)]
fn engine_is_counted_by_what_keeps_it_from_loading(
    change: fn(&mut Engine),
    expected: BehindReason,
    behind: usize,
) {
    let mut engines = engines(2);
    change(engines.get_mut(&BackEndName::new("e0")).unwrap());
    let standing = planner().standing(&engines, &deadlines(2), at(8_000));
    let expected = match expected {
        BehindReason::Waiting => vec![(BehindReason::Waiting, 2)],
        other => vec![(BehindReason::Waiting, 1), (other, 1)],
    };
    assert_eq!(counts(&standing), expected);
    assert_eq!(standing.behind(), behind);
}

#[test]
fn engine_with_an_open_order_is_ordered_until_it_rests() {
    let (engines, deadlines) = (engines(2), deadlines(2));
    let mut planner = planner();
    let mut actions = Vec::new();
    planner.advance(&engines, &deadlines, at(8_000), &mut actions);
    let standing = planner.standing(&engines, &deadlines, at(8_000));
    let expected = [(BehindReason::Ordered, 1), (BehindReason::Waiting, 1)];
    assert_eq!(counts(&standing), expected);
    planner.ordered(
        &BackEndName::new("e0"),
        OrderOutcome::Rejected,
        at(8_100),
        &mut actions,
    );
    let standing = planner.standing(&engines, &deadlines, at(8_100));
    let expected = [(BehindReason::Waiting, 1), (BehindReason::Resting, 1)];
    assert_eq!(counts(&standing), expected);
}

#[test]
fn engine_that_does_not_answer_is_suspect_until_it_answers_a_probe() {
    let (engines, deadlines) = (engines(2), deadlines(2));
    let name = BackEndName::new("e0");
    let mut planner = planner();
    let mut actions = Vec::new();
    planner.advance(&engines, &deadlines, at(8_000), &mut actions);
    planner.reported(&name, None, at(8_100), &mut actions);
    let standing = |planner: &RolloutPlanner, millis| {
        counts(&planner.standing(&engines, &deadlines, at(millis)))
    };
    let expected = [(BehindReason::Waiting, 1), (BehindReason::Suspect, 1)];
    assert_eq!(standing(&planner, 8_100), expected);
    // The probe takes no place, so the other one is ordered beside it.
    planner.advance(&engines, &deadlines, at(9_000), &mut actions);
    let expected = [(BehindReason::Ordered, 1), (BehindReason::Suspect, 1)];
    assert_eq!(standing(&planner, 9_000), expected);
    let report = EngineReport::default();
    planner.reported(&name, Some(&report), at(9_010), &mut actions);
    let expected = [(BehindReason::Ordered, 1), (BehindReason::Waiting, 1)];
    assert_eq!(standing(&planner, 9_010), expected);
}

#[parameterized(
    newest = { 1, 0, None },
    older = { 2, 3, Some(7_000) },
)]
fn engines_with_the_newest_weights_are_not_counted(
    version: u64,
    behind: usize,
    until: Option<u64>,
) {
    let standing = planner().standing(&engines(3), &deadlines(version), at(0));
    assert_eq!(standing.behind(), behind);
    assert_eq!(standing.first_deadline(), until.map(at));
}

#[test]
fn engine_that_is_behind_for_two_models_is_counted_once() {
    let mut engines = engines(1);
    let name = BackEndName::new("e0");
    engines.get_mut(&name).unwrap().note_weights(OTHER_MODEL, 1);
    let mut deadlines = deadlines(2);
    deadlines.note(OTHER_MODEL, 2, PublicationTime::Seen(at(500)));
    assert_eq!(planner().standing(&engines, &deadlines, at(0)).behind(), 1);
}

#[test]
fn engines_that_leave_set_no_deadline() {
    let mut engines = engines(1);
    drain(engines.get_mut(&BackEndName::new("e0")).unwrap());
    let standing = planner().standing(&engines, &deadlines(2), at(8_000));
    assert_eq!(standing.first_deadline(), None);
}

/// Engines that report and take orders unless they are silent, and never finish a load.
#[derive(Default)]
struct FewAnswers {
    is_silent: Cell<bool>,
}

impl EngineOrders for FewAnswers {
    fn order(
        &self,
        _address: SocketAddr,
        _order: WeightsOrder,
        _fence: FencingNumber,
    ) -> LocalBoxFuture<'_, OrderOutcome> {
        async { OrderOutcome::Rejected }.boxed_local()
    }

    fn report(
        &self,
        _engine: BackEndName,
        _address: SocketAddr,
    ) -> LocalBoxFuture<'_, Option<EngineReport>> {
        let is_silent = self.is_silent.get();
        async move { (!is_silent).then(EngineReport::default) }.boxed_local()
    }
}

/// A node that holds the lease of orders while engines of it don't report.
struct Holder {
    lines: LogLines,
    gateway: Rc<Gateway>,
    engines: Rc<FewAnswers>,
    lease: Rc<OneLease>,
}

impl Holder {
    /// Version 2 was published `age` ago.
    fn start(age: Duration) -> Self {
        let lines = LogLines::default();
        let gateway = gateway_logging_to(&lines);
        configure(&gateway, table(1, Vec::new()));
        let entry = |name| engine(name, "127.0.0.1:1".parse().unwrap(), 1);
        list_engines(&gateway, vec![entry("e1"), entry("e2"), entry("e3")]);
        let published = gateway.clock().now().before(age);
        let mut state = gateway.state_mut();
        let publication = PublicationTime::Seen(published);
        state.deadlines.note(MODEL, 2, publication);
        let leaving = state.engines.get_mut(&BackEndName::new("e3")).unwrap();
        drain(leaving);
        drop(state);
        let engines = Rc::new(FewAnswers::default());
        engines.is_silent.set(true);
        let lease = Rc::new(OneLease::default());
        let (store, orders) = (lease.clone(), engines.clone());
        spawn_local(run_rollouts(Rc::clone(&gateway), store, orders, SETTINGS));
        Self {
            lines,
            gateway,
            engines,
            lease,
        }
    }

    fn shown(&self, reason: BehindReason) -> i64 {
        let gauge = &self.gateway.metrics().engines_behind;
        gauge.with_label_values(&[&reason.to_string()]).get()
    }

    fn shown_in_all(&self) -> i64 {
        BehindReason::ALL
            .map(|reason| self.shown(reason))
            .iter()
            .sum()
    }

    fn stalls(&self) -> Vec<String> {
        self.lines.of("rollout_stalled")
    }
}

fn number(line: &str, key: &str) -> u64 {
    value(line, key)
        .and_then(|text| text.parse().ok())
        .expect(key)
}

#[test]
fn stall_is_logged_once_a_period_with_its_counts() {
    run_paused(async {
        let holder = Holder::start(GRACE);
        sleep(Duration::from_secs(4)).await;
        assert_eq!(holder.stalls(), [""; 0]);
        sleep(Duration::from_secs(2)).await;
        let stalls = holder.stalls();
        assert_eq!(stalls.len(), 1, "{stalls:?}");
        let line = &stalls[0];
        assert_eq!(number(line, "fence"), 1);
        assert_eq!(number(line, "behind"), 2);
        assert_eq!(number(line, "leaving"), 1);
        assert_eq!((number(line, "resting"), number(line, "unlisted")), (0, 0));
        let reasons = ["ordered", "waiting", "suspect"];
        let counted: u64 = reasons.iter().map(|key| number(line, key)).sum();
        assert_eq!(counted, 2);
        assert!(number(line, "without_order_ms") >= 4_000);
        // One line every five seconds.
        sleep(Duration::from_secs(15)).await;
        assert_eq!(holder.stalls().len(), 4);
        assert_eq!(holder.lines.of("rollout_resumed").len(), 0);
    });
}

#[test]
fn ejected_engines_are_named_as_the_cause() {
    run_paused(async {
        let holder = Holder::start(GRACE);
        let now = holder.gateway.clock().now();
        for name in ["e1", "e2"] {
            let mut state = holder.gateway.state_mut();
            let engine = state.engines.get_mut(&BackEndName::new(name)).unwrap();
            engine.health.unreachable(now);
        }
        sleep(Duration::from_secs(6)).await;
        assert_eq!(number(&holder.stalls()[0], "suspect"), 2);
        assert_eq!(holder.shown(BehindReason::Suspect), 2);
    });
}

#[test]
fn order_ends_a_stall() {
    run_paused(async {
        let holder = Holder::start(GRACE);
        sleep(Duration::from_secs(6)).await;
        assert_eq!(holder.stalls().len(), 1);
        holder.engines.is_silent.set(false);
        sleep(Duration::from_secs(15)).await;
        assert_eq!(holder.stalls().len(), 1);
        let resumed = holder.lines.of("rollout_resumed");
        assert_eq!(resumed.len(), 1, "{resumed:?}");
        assert!(number(&resumed[0], "after_ms") >= 4_000);
        assert_eq!(number(&resumed[0], "fence"), 1);
    });
}

#[test]
fn rollout_with_time_left_is_not_stalled() {
    run_paused(async {
        let holder = Holder::start(Duration::ZERO);
        holder.gateway.note_release_work(true);
        sleep(Duration::from_millis(4_400)).await;
        assert!(holder.gateway.state().gives_orders);
        assert_eq!(holder.shown_in_all(), 3);
        sleep(Duration::from_secs(4)).await;
        assert_eq!(holder.stalls(), [""; 0]);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(holder.stalls().len(), 1);
    });
}

/// The deadline for requests begins again each time, the one for loads does not.
#[test]
fn stall_is_logged_although_troubles_of_the_source_repeat() {
    run_paused(async {
        let holder = Holder::start(GRACE);
        for _ in 0..6 {
            sleep(Duration::from_secs(1)).await;
            let now = holder.gateway.clock().now();
            holder.gateway.state_mut().deadlines.extend_from(now);
        }
        assert_eq!(holder.stalls().len(), 1);
    });
}

fn lose_lease(holder: &Holder) {
    holder.lease.is_silent.set(true);
}

fn bring_up(holder: &Holder) {
    for name in ["e1", "e2", "e3"] {
        let name = BackEndName::new(name);
        holder.gateway.note_weights(&name, MODEL, 2);
    }
}

#[parameterized(
    lease_is_lost = { lose_lease },
    engines_have_the_weights = { bring_up },
)]
fn gauge_is_reset_when(end: fn(&Holder)) {
    run_paused(async move {
        let holder = Holder::start(GRACE);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(holder.shown_in_all(), 3);
        assert_eq!(holder.shown(BehindReason::Leaving), 1);
        let page = String::from_utf8(holder.gateway.metrics().render()).unwrap();
        let line = "ryerouter_gateway_engines_behind{reason=\"leaving\"} 1";
        assert!(page.contains(line), "{page}");
        end(&holder);
        sleep(SETTINGS.duration).await;
        assert_eq!(holder.shown_in_all(), 0);
        sleep(Duration::from_secs(10)).await;
        assert_eq!(holder.stalls(), [""; 0]);
    });
}
