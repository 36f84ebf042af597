//! How answers are judged while a pool's software moves.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::BackEndName;
use ryerouter_core::release::{Counts, Stage, Tally, key_of};
use ryerouter_gateway::catalogue::RequestKind;
use ryerouter_gateway::engines::EngineEntry;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::release::{AnswerEnd, AnswerTiming};
use support::gateway_bench::{GatewayBench, list_engines, run, run_paused};
use support::records::{engine, route, table};
use support::releases::{
    PRESENT, TARGET, engine_of, grant, lone_node, new_node, order, pool, release_settings,
};
use support::scripted_engine::{ScriptedEngine, Step};
use support::test_dialect::{ID, PATIENCE_MS};
use tokio::time::advance;
use yare::parameterized;

const GOOD: AnswerEnd = AnswerEnd::Whole { is_success: true };
/// Answers after which it is known how long they take.
const ENOUGH: usize = 8;
/// Answers after which it is known how long an engine may be silent.
const MANY: usize = 20;
const USUAL: Duration = Duration::from_millis(100);
const A_LITTLE_LATE: Duration = Duration::from_millis(240);
const SLOW: Duration = Duration::from_millis(260);

/// What is expected of answers: all, failed, slow.
const NOT_COUNTED: Tally = tally(0, 0, 0);
const ONE_GOOD: Tally = tally(1, 0, 0);
const ONE_FAILED: Tally = tally(1, 1, 0);
const ONE_SLOW: Tally = tally(1, 0, 1);

const fn tally(answers: u32, failed: u32, slow: u32) -> Tally {
    Tally {
        answers,
        failed,
        slow,
    }
}

fn counts(node: &Gateway) -> Counts {
    node.release_counts(&order(TARGET, 50))
}

struct Bench {
    bench: GatewayBench,
    old: Rc<ScriptedEngine>,
    new: Rc<ScriptedEngine>,
}

/// One engine of each version; every request goes to the target version first.
async fn bench(kind: RequestKind, old: &[Step], new: &[Step]) -> Bench {
    let (old, old_address) = ScriptedEngine::start(old.to_vec()).await;
    let (new, new_address) = ScriptedEngine::start(new.to_vec()).await;
    let of = |name, address, software: &str| EngineEntry {
        software: software.to_owned(),
        ..engine(name, address, 1)
    };
    let entries = vec![
        of("old-1", old_address, PRESENT),
        of("new-1", new_address, TARGET),
    ];
    let table = table(1, vec![route(kind)]);
    let bench = GatewayBench::start_with(release_settings("node-1"), Some(table), entries).await;
    bench.gateway.publish_grant(grant(Stage::Shifting, 1.0, 1));
    Bench { bench, old, new }
}

#[parameterized(
    error = { Step::Answer(500, "broken"), ONE_FAILED },
    unmarked_refusal = { Step::Answer(503, "later"), ONE_FAILED },
    foreign = { Step::Foreign, ONE_FAILED },
    closed = { Step::Close, ONE_FAILED },
    not_run = { Step::NoRoom, NOT_COUNTED },
)]
fn request_that_fails_at_the_target_is_judged_and_served_by_the_present_version(
    step: Step,
    expected: Tally,
) {
    run(async move {
        let bench = bench(RequestKind::Safe, &[], &[step]).await;
        let answer = bench.bench.call("GET", &[(ID, "r1")], "").await;
        assert_eq!(answer.body.as_deref(), Ok("ok"));
        assert_eq!(bench.new.arrivals.borrow().len(), 1);
        assert_eq!(bench.old.arrivals.borrow().len(), 1);
        let counts = counts(&bench.bench.gateway);
        assert_eq!(counts.target(), expected);
        assert_eq!(counts.present(), ONE_GOOD);
        let sent = bench.bench.gateway.state();
        let budget = sent.releases.of(&pool()).unwrap().budget;
        assert_eq!((budget.all(), budget.target()), (1, 1));
        let requests = &bench.bench.gateway.metrics().release_requests;
        let sent_to = |version| requests.with_label_values(&["pool", version]).get();
        assert_eq!((sent_to("target"), sent_to("present")), (1, 1));
    });
}

#[parameterized(
    whole = { Step::Answer(200, "ok"), ONE_GOOD },
    caller_fault = { Step::Answer(404, "nothing here"), ONE_GOOD },
)]
fn answer_of_the_target_that_is_whole_is_good(step: Step, expected: Tally) {
    run(async move {
        let bench = bench(RequestKind::Safe, &[], &[step]).await;
        bench.bench.call("GET", &[(ID, "r1")], "").await;
        assert_eq!(counts(&bench.bench.gateway).target(), expected);
        assert_eq!(bench.old.arrivals.borrow().len(), 0);
    });
}

const EVENTS: &[&str] = &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
const HALF_AN_EVENT: &[&str] = &["id: 1\ndata: a\n\n", "id: 2\nda"];

#[parameterized(
    whole = { Step::Events(EVENTS), ONE_GOOD, true },
    cut = { Step::BrokenEvents(EVENTS), ONE_FAILED, false },
    ends_within_an_event = { Step::Events(HALF_AN_EVENT), ONE_FAILED, false },
)]
fn stream_of_the_target_is_judged_by_how_it_ends(step: Step, expected: Tally, is_whole: bool) {
    run(async move {
        let rest = Step::Events(&["id: 3\ndata: c\n\n"]);
        let bench = bench(RequestKind::Streaming, &[rest], &[step]).await;
        let answer = bench.bench.call("GET", &[(ID, "r1")], "").await;
        assert_eq!(answer.body.is_ok(), is_whole);
        assert_eq!(counts(&bench.bench.gateway).target(), expected);
        // The present version can't go on with what the target began.
        assert_eq!(bench.old.arrivals.borrow().len(), 0);
    });
}

/// It has nowhere else to go: given up, it would be sent to the same engine once more.
#[test]
fn late_answer_is_waited_for_while_only_engines_of_a_rejected_version_are_left() {
    run(async {
        let bench = bench(RequestKind::Safe, &[], &[]).await;
        bench
            .bench
            .gateway
            .publish_grant(grant(Stage::RolledBack, 0.0, 2));
        for number in 0..MANY {
            let id = format!("r{number}");
            bench.bench.call("GET", &[(ID, &id)], "").await;
        }
        bench.old.push(Step::Late(Duration::from_millis(800)));
        let answer = bench.bench.call("GET", &[(ID, "late")], "").await;
        assert_eq!(answer.body.as_deref(), Ok("late"));
        assert_eq!(bench.old.arrivals.borrow().len(), MANY + 1);
        assert_eq!(bench.new.arrivals.borrow().len(), 0);
    });
}

/// A version that hangs answers nothing that could be judged.
#[parameterized(
    plain = { RequestKind::Unsafe, Step::Silence, Step::Answer(200, "ok") },
    stream = { RequestKind::Streaming, Step::StallingEvents(EVENTS), Step::Events(MANY_EVENTS) },
)]
fn answer_that_hangs_until_nobody_waits_is_slow(kind: RequestKind, hangs: Step, usual: Step) {
    run(async move {
        let bench = bench(kind, &vec![usual; ENOUGH], &[hangs]).await;
        let gateway = &bench.bench.gateway;
        gateway.publish_grant(grant(Stage::Trial, 0.0, 2));
        for number in 0..ENOUGH {
            let id = format!("r{number}");
            bench.bench.call("GET", &[(ID, &id)], "").await;
        }
        assert_eq!(counts(gateway).present(), tally(ENOUGH as u32, 0, 0));
        gateway.publish_grant(grant(Stage::Shifting, 1.0, 3));
        let headers = [(ID, "late"), (PATIENCE_MS, "700")];
        bench.bench.call("GET", &headers, "").await;
        assert_eq!(counts(gateway).target(), ONE_SLOW);
    });
}

const MANY_EVENTS: &[&str] = &["data: 1\n\n"; 10];

/// An answer of an engine that is sent for now.
fn sent(node: &Gateway, engine: &str, software: &str) -> AnswerTiming {
    let state = node.state();
    let now = node.clock().now();
    let known = state.engines.get(&BackEndName::new(engine));
    AnswerTiming {
        pool: pool(),
        route: key_of("route"),
        engine: BackEndName::new(engine),
        software: software.to_owned(),
        is_cold: known.is_some_and(|known| known.is_cold(now)),
        is_stream: false,
        unread_tokens: 100,
        sent_at: now,
        first_event_at: None,
        events: 0,
        waited: Duration::ZERO,
        waiting_since: None,
    }
}

/// A stream whose first event takes so long, and whose others are so far apart.
async fn stream_of(mut watch: AnswerTiming, node: &Gateway, first: Duration, then: Duration) {
    watch.is_stream = true;
    watch.begin_wait(node.clock().now());
    advance(first).await;
    watch.end_wait(node.clock().now());
    watch.note_events(1, node.clock().now());
    for _ in 0..10 {
        watch.begin_wait(node.clock().now());
        advance(then).await;
        watch.end_wait(node.clock().now());
        watch.note_events(1, node.clock().now());
    }
    node.note_release_answer(&watch, GOOD);
}

/// A node that has seen the present version's answers, streams among them, during a trial.
async fn node_in_trial() -> Rc<Gateway> {
    let node = lone_node().await;
    for _ in 0..ENOUGH {
        let watch = sent(&node, "old-1", PRESENT);
        advance(USUAL).await;
        node.note_release_answer(&watch, GOOD);
        let watch = sent(&node, "old-1", PRESENT);
        stream_of(watch, &node, USUAL, USUAL).await;
    }
    node.publish_grant(grant(Stage::Trial, 0.05, 1));
    node
}

#[parameterized(
    whole_in_time = { GOOD, A_LITTLE_LATE, ONE_GOOD },
    whole_and_late = { GOOD, SLOW, ONE_SLOW },
    left_soon = { AnswerEnd::Left, A_LITTLE_LATE, NOT_COUNTED },
    left_late = { AnswerEnd::Left, SLOW, ONE_SLOW },
    failed_soon = { AnswerEnd::Failed, A_LITTLE_LATE, ONE_FAILED },
    failed_late = { AnswerEnd::Failed, SLOW, ONE_FAILED },
    not_run = { AnswerEnd::NotRun, SLOW, NOT_COUNTED },
)]
fn answer_is_slow_by_the_present_versions_time(end: AnswerEnd, took: Duration, expected: Tally) {
    run_paused(async move {
        let node = node_in_trial().await;
        for (engine, software) in [("new-1", TARGET), ("old-1", PRESENT)] {
            let watch = sent(&node, engine, software);
            advance(took).await;
            node.note_release_answer(&watch, end);
        }
        assert_eq!(counts(&node).target(), expected);
        // A disruption that both meet is known from the present version's answers.
        assert_eq!(counts(&node).present(), expected);
    });
}

#[parameterized(
    usual = { USUAL, USUAL, ONE_GOOD },
    late_first = { SLOW, USUAL, ONE_SLOW },
    slow_events = { USUAL, SLOW, ONE_SLOW },
)]
fn stream_is_slow_by_its_first_event_or_by_the_time_between_events(
    first: Duration,
    then: Duration,
    expected: Tally,
) {
    run_paused(async move {
        let node = node_in_trial().await;
        stream_of(sent(&node, "new-1", TARGET), &node, first, then).await;
        assert_eq!(counts(&node).target(), expected);
    });
}

/// Engines of a new version hold nothing yet, and read whole prompts.
#[test]
fn engine_with_an_empty_cache_is_compared_with_others_that_read_as_much() {
    run_paused(async {
        let node = node_in_trial().await;
        let mut watch = sent(&node, "new-1", TARGET);
        watch.unread_tokens = 4_000;
        stream_of(watch.clone(), &node, SLOW, USUAL).await;
        assert_eq!(counts(&node).target(), ONE_GOOD);
        watch.sent_at = node.clock().now();
        advance(SLOW).await;
        node.note_release_answer(&watch, GOOD);
        assert_eq!(counts(&node).target(), tally(2, 0, 0));
    });
}

/// The caller is slow, not the engine: nothing is waited for meanwhile.
#[test]
fn time_that_a_caller_takes_between_events_is_not_the_engines() {
    run_paused(async {
        let node = node_in_trial().await;
        let mut watch = sent(&node, "new-1", TARGET);
        watch.is_stream = true;
        for _ in 0..10 {
            watch.begin_wait(node.clock().now());
            advance(USUAL).await;
            watch.end_wait(node.clock().now());
            watch.note_events(1, node.clock().now());
            advance(SLOW).await;
        }
        node.note_release_answer(&watch, GOOD);
        assert_eq!(counts(&node).target(), ONE_GOOD);
    });
}

#[parameterized(
    while_cold = { Duration::from_secs(1), GOOD, ONE_GOOD },
    failing_while_cold = { Duration::from_secs(1), AnswerEnd::Failed, ONE_FAILED },
    after_that = { Duration::from_secs(4), GOOD, ONE_SLOW },
)]
fn engine_that_has_just_started_may_be_slow_but_not_fail(
    age: Duration,
    end: AnswerEnd,
    expected: Tally,
) {
    run_paused(async move {
        let node = node_in_trial().await;
        let cold = EngineEntry {
            cold_left: Duration::from_secs(3),
            ..engine_of("cold-1", TARGET)
        };
        list_engines(&node, vec![engine_of("old-1", PRESENT), cold]);
        advance(age).await;
        let watch = sent(&node, "cold-1", TARGET);
        advance(SLOW).await;
        node.note_release_answer(&watch, end);
        assert_eq!(counts(&node).target(), expected);
    });
}

/// The time that a pool's answers take must not be that of its bad version.
#[test]
fn answers_of_the_target_do_not_tell_what_is_usual() {
    run_paused(async {
        let node = node_in_trial().await;
        for expected in 1..100 {
            let watch = sent(&node, "new-1", TARGET);
            advance(SLOW).await;
            node.note_release_answer(&watch, GOOD);
            assert_eq!(counts(&node).target(), tally(expected, 0, expected));
        }
    });
}

/// The load of a pool may rise at any time.
#[test]
fn what_is_usual_follows_the_present_version() {
    run_paused(async {
        let node = node_in_trial().await;
        for _ in 0..100 {
            let watch = sent(&node, "old-1", PRESENT);
            advance(SLOW).await;
            node.note_release_answer(&watch, GOOD);
        }
        let watch = sent(&node, "new-1", TARGET);
        advance(SLOW).await;
        node.note_release_answer(&watch, GOOD);
        assert_eq!(counts(&node).target(), ONE_GOOD);
    });
}

#[test]
fn nothing_is_slow_before_enough_was_seen() {
    run_paused(async {
        let node = new_node(0, support::records::ZONE);
        node.publish_grant(grant(Stage::Trial, 0.05, 1));
        for _ in 0..ENOUGH - 1 {
            let watch = sent(&node, "old-1", PRESENT);
            advance(USUAL).await;
            node.note_release_answer(&watch, GOOD);
        }
        let watch = sent(&node, "new-1", TARGET);
        advance(SLOW).await;
        node.note_release_answer(&watch, GOOD);
        assert_eq!(counts(&node).target(), ONE_GOOD);
    });
}

#[test]
fn nothing_is_counted_after_the_verdict() {
    run_paused(async {
        let node = node_in_trial().await;
        node.publish_grant(grant(Stage::RolledBack, 0.0, 2));
        let watch = sent(&node, "new-1", TARGET);
        node.note_release_answer(&watch, AnswerEnd::Failed);
        assert_eq!(counts(&node).target(), NOT_COUNTED);
        assert!(node.peer_message(true).evidence.is_empty());
    });
}

/// An engine ends with all that runs there, up to dozens of answers, and closes for seconds what is sent to it then: that
/// is one thing that went wrong. Counted by answers, a request that ends engines of the present version hid a target
/// of which four in ten answers failed: `present_answers=352 present_failed=141 target_answers=45 target_failed=5`.
#[test]
fn end_of_an_engine_is_one_failure_however_much_ran_there() {
    run_paused(async {
        let node = node_in_trial().await;
        let name = BackEndName::new("new-1");
        let running: Vec<_> = (0..5).map(|_| sent(&node, "new-1", TARGET)).collect();
        advance(USUAL).await;
        for watch in &running {
            node.note_release_answer(watch, AnswerEnd::Failed);
            let ended = node.clock().now();
            let mut state = node.state_mut();
            let engine = state.engines.get_mut(&name).expect("engine");
            engine.note_crashed(watch.sent_at, ended);
        }
        advance(USUAL).await;
        let later = sent(&node, "new-1", TARGET);
        node.note_release_answer(&later, AnswerEnd::Failed);
        assert_eq!(counts(&node).target(), ONE_FAILED);
        // It has only lost a link, and takes work again.
        let mut state = node.state_mut();
        state
            .engines
            .get_mut(&name)
            .expect("engine")
            .note_accepted();
        drop(state);
        let next = sent(&node, "new-1", TARGET);
        node.note_release_answer(&next, AnswerEnd::Failed);
        assert_eq!(counts(&node).target(), tally(2, 2, 0));
    });
}
