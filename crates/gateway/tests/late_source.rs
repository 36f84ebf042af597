//! A source that answers one node late, while the others hear it at once, on a virtual clock; see
//! docs/incidents/2026-12-02-late-links.md.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::peers::NodeState;
use ryerouter_gateway::rollout::run_rollouts;
use ryerouter_gateway::source::{ItemBatch, ItemChange, ItemKind};
use support::fleet::{FIRST_REVISION, introduce, node};
use support::followers::{Followers, knows_leaving, newest_weights, three_engines};
use support::gateway_bench::{configure, gateway, run_paused};
use support::no_orders::NoOrders;
use support::one_lease::{OneLease, SETTINGS};
use support::records::table;
use support::test_dialect::MODEL;
use support::virtual_source::VirtualSource;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};
use yare::parameterized;

/// How long a watch lasts in a small deployment.
const LONG_WATCH: Duration = Duration::from_secs(15);
/// A deployment has settled after this time: all nodes know each other and wait for changes.
const SETTLED: Duration = Duration::from_secs(8);
/// The answers are late for so long before anything changes: whatever was on its way has arrived.
const LATE_BEFORE: Duration = Duration::from_secs(4);
/// What has been undisturbed for this long keeps its promises again.
const CONTACT: Duration = Duration::from_secs(3);
/// An engine that leaves gets nothing new after this time; configurations are in force by then.
const BOUND: Duration = Duration::from_secs(2);
/// Requests begin on replaced weights no longer than this after newer ones were named.
const VERSION_BOUND: Duration = Duration::from_secs(8);
/// Times that each case is played.
const PLAYS: usize = 4;
/// A wait that is longer than any bound.
const LONG_ENOUGH: Duration = Duration::from_secs(20);

/// So many nodes, to one of which answers are late for some time.
async fn late_at(count: usize, late: usize, by: Duration) -> Rc<Followers> {
    let source = VirtualSource::new(three_engines());
    let followers = Followers::start(count, source, LONG_WATCH);
    sleep(SETTLED).await;
    followers.source.delay_answers(late, by);
    sleep(LATE_BEFORE).await;
    followers
}

fn drain(followers: &Followers, index: usize) {
    let engine = three_engines().swap_remove(index);
    followers.source.drain(engine);
}

fn knows_gone(gateway: &Gateway, name: &str) -> bool {
    let state = gateway.state();
    state.engines.get(&BackEndName::new(name)).is_none()
}

/// Plays a case several times, since nodes draw some of their times; tells the longest delay where that
/// reaches the bound.
fn worst<F: Future<Output = Option<Duration>>>(
    bound: Duration,
    play: impl Fn() -> F + Clone + 'static,
) -> Option<Duration> {
    let delays = (0..PLAYS).map(|_| {
        let play = play.clone();
        run_paused(async move { play().await.unwrap_or(LONG_ENOUGH) })
    });
    delays.max().filter(|longest| *longest >= bound)
}

/// A case: so many nodes, which of them is late, and by how many milliseconds.
type Case = (usize, usize, u64);

/// Plays all cases; none may reach the bound.
fn assert_in_time<F: Future<Output = Option<Duration>>>(
    cases: &[Case],
    bound: Duration,
    play: impl Fn(Rc<Followers>) -> F + Copy + 'static,
) {
    let late = cases.iter().filter_map(|case| {
        let (count, late, by_ms) = *case;
        let by = Duration::from_millis(by_ms);
        let longest = worst(bound, move || async move {
            play(late_at(count, late, by).await).await
        });
        longest.map(|longest| (*case, longest))
    });
    let late: Vec<_> = late.collect();
    assert!(late.is_empty(), "nodes, late node, ms, delay: {late:?}");
}

#[test]
fn leaving_engine_is_known_in_time_where_answers_are_late() {
    let cases = [
        (2, 1, 1_200),
        (7, 1, 800),
        (7, 1, 1_200),
        (7, 1, 1_600),
        (7, 1, 2_000),
        (7, 1, 3_000),
        (7, 1, 60_000),
        (7, 0, 2_000),
        (10, 0, 3_000),
        (12, 0, 3_000),
        (12, 5, 3_000),
    ];
    assert_in_time(&cases, BOUND, |followers| async move {
        drain(&followers, 0);
        // The second change comes while the first is still on its way.
        sleep(Duration::from_millis(300)).await;
        drain(&followers, 1);
        let is_known = |node: &Gateway| knows_leaving(node, "e1") && knows_leaving(node, "e2");
        followers.until_known(LONG_ENOUGH, is_known).await
    });
}

/// Engines may leave without a word. That questions of this node fail is no outage of the source,
/// which the other nodes reach.
#[test]
fn engine_that_goes_is_left_in_time_where_answers_are_late() {
    let cases = [
        (2, 1, 1_200),
        (6, 1, 800),
        (6, 1, 1_200),
        (6, 1, 1_600),
        (6, 1, 2_000),
        (6, 1, 3_000),
        (6, 0, 1_600),
        (12, 0, 3_000),
        (12, 5, 3_000),
    ];
    assert_in_time(&cases, BOUND, |followers| async move {
        followers.source.remove("e1");
        let is_known = |node: &Gateway| knows_gone(node, "e1");
        followers.until_known(LONG_ENOUGH, is_known).await
    });
}

#[test]
fn weights_and_configuration_are_known_in_time_where_answers_are_late() {
    let cases = [
        (6, 1, 800),
        (6, 1, 1_600),
        (6, 1, 3_000),
        (6, 1, 60_000),
        (12, 0, 3_000),
        (12, 5, 3_000),
    ];
    assert_in_time(&cases, BOUND, |followers| async move {
        followers.source.configure(2);
        let is_known = |node: &Gateway| node.configuration_version() == Some(2);
        followers.until_known(LONG_ENOUGH, is_known).await
    });
    assert_in_time(&cases, VERSION_BOUND, |followers| async move {
        followers.source.name_weights(2);
        let is_left = |node: &Gateway| {
            let now = node.clock().now();
            newest_weights(node) == Some(2) && !node.state().deadlines.allows(MODEL, 1, now)
        };
        followers.until_known(LONG_ENOUGH, is_left).await
    });
}

/// What a node knows that starts while answers to it are late: its first list is old, and was stale
/// already when it was made.
#[parameterized(
    in_time = { 6, 1, 0 },
    by_700_ms = { 6, 1, 700 },
    by_1200_ms = { 6, 1, 1_200 },
    by_3000_ms = { 6, 1, 3_000 },
    by_4000_ms = { 6, 1, 4_000 },
    reader_of_twelve_by_1200_ms = { 12, 0, 1_200 },
    reader_of_twelve_by_3000_ms = { 12, 0, 3_000 },
    one_of_twelve_by_3000_ms = { 12, 5, 3_000 },
)]
fn node_that_starts_with_late_answers_serves_by_a_list_that_is_not_old(
    count: usize,
    late: usize,
    by_ms: u64,
) {
    run_paused(async move {
        let source = VirtualSource::new(three_engines());
        let followers = Followers::prepare(count, source);
        followers.cut_off(late);
        (0..count)
            .filter(|index| *index != late)
            .for_each(|index| followers.start_node(index, LONG_WATCH));
        sleep(SETTLED).await;
        followers.source.hold_back_stale_lists();
        drain(&followers, 0);
        sleep(BOUND).await;
        let by = Duration::from_millis(by_ms);
        followers.source.delay_answers(late, by);
        followers.join(late);
        followers.start_node(late, LONG_WATCH);
        let node = &followers.nodes[late];
        let is_ready = || node.state().node_state == NodeState::Ready;
        let started_at = Instant::now();
        while !is_ready() {
            sleep(Duration::from_millis(1)).await;
            assert!(started_at.elapsed() < by + BOUND, "not ready");
        }
        // Undisturbed only from then on.
        sleep_until(started_at + CONTACT).await;
        assert!(knows_leaving(node, "e1"));
        drain(&followers, 1);
        let is_known = |node: &Gateway| knows_leaving(node, "e2");
        let delay = followers.until_known(LONG_ENOUGH, is_known).await;
        assert!(delay.is_some_and(|delay| delay < BOUND), "{delay:?}");
    });
}

/// The source stands still for all, and entries lapse that come back: answers that are late for one
/// node besides don't hide that from any node.
#[parameterized(
    one_of_three_for_3_s = { 3, 1, 3_000 },
    one_of_six_for_3_s = { 6, 1, 3_000 },
    one_of_six_for_4_s = { 6, 1, 4_000 },
    one_of_twelve_for_4_s = { 12, 5, 4_000 },
    reader_of_twelve_for_4_s = { 12, 0, 4_000 },
)]
fn entry_that_lapses_is_waited_for_where_answers_are_late_besides(
    count: usize,
    late: usize,
    millis: u64,
) {
    run_paused(async move {
        let by = Duration::from_millis(700);
        let followers = late_at(count, late, by).await;
        followers.source.freeze(Duration::from_millis(millis));
        sleep(Duration::from_millis(millis - 100)).await;
        followers.source.remove("e1");
        sleep(Duration::from_millis(1_100)).await;
        let others = followers.nodes.iter().enumerate();
        let gone = others.filter(|(_, node)| knows_gone(node, "e1"));
        let gone: Vec<_> = gone.map(|(index, _)| index).collect();
        assert!(gone.is_empty(), "not waited for at {gone:?}");
    });
}

/// An answer to a question that was asked before another node told of a change lacks that change.
#[parameterized(
    asked_before = { Duration::ZERO, true },
    asked_afterwards = { Duration::from_secs(2), false },
)]
fn late_answer_does_not_hide_what_another_node_has_told(asked_after: Duration, is_behind: bool) {
    run_paused(async move {
        let nodes = [node(0), node(1)];
        introduce(&nodes);
        let started_at = nodes[0].clock().now();
        sleep(Duration::from_secs(1)).await;
        let change = ItemChange::Gone("e1".to_owned());
        let batch = |changes, revision: u64| ItemBatch {
            changes,
            revision: revision.into(),
            is_whole: true,
        };
        let now = nodes[1].clock().now();
        nodes[1].apply_batch(
            ItemKind::Engines,
            batch(vec![change], FIRST_REVISION + 5),
            Some(now),
        );
        nodes[0].receive_peer_message(nodes[1].peer_message(true));
        let is_behind_now = || nodes[0].state().replicas.of(ItemKind::Engines).is_behind();
        assert!(is_behind_now());
        sleep(Duration::from_secs(3)).await;
        let asked_at = started_at.after(asked_after);
        nodes[0].apply_changes(ItemKind::Engines, Vec::new(), asked_at);
        assert_eq!(is_behind_now(), is_behind);
    });
}

/// The source answers everybody but the node that starts.
#[parameterized(
    one_of_two = { 2, 1 },
    one_of_six = { 6, 1 },
    first_of_six = { 6, 0 },
    one_of_twelve = { 12, 5 },
    first_of_twelve = { 12, 0 },
)]
fn node_that_the_source_does_not_answer_starts_with_what_others_know(count: usize, absent: usize) {
    run_paused(async move {
        let source = VirtualSource::new(three_engines());
        let followers = Followers::prepare(count, source);
        followers.cut_off(absent);
        (0..count)
            .filter(|index| *index != absent)
            .for_each(|index| followers.start_node(index, LONG_WATCH));
        sleep(SETTLED).await;
        followers.source.configure(2);
        followers.source.remove("e1");
        sleep(BOUND).await;
        followers.source.set_reachable(absent, false);
        followers.join(absent);
        followers.start_node(absent, LONG_WATCH);
        let is_ready = |node: &Gateway| node.state().node_state == NodeState::Ready;
        let delay = followers.until_known(LONG_ENOUGH, is_ready).await;
        assert!(delay.is_some_and(|delay| delay < BOUND), "{delay:?}");
        let node = &followers.nodes[absent];
        assert_eq!(node.configuration_version(), Some(2));
        assert_eq!(node.state().engines.iter().count(), 2);
        // It goes on to follow what they know.
        drain(&followers, 1);
        let is_known = |node: &Gateway| knows_leaving(node, "e2");
        let delay = followers.until_known(LONG_ENOUGH, is_known).await;
        assert!(delay.is_some_and(|delay| delay < BOUND), "{delay:?}");
    });
}

/// What ends the wait may be told by another node, or be time alone.
#[parameterized(
    others_tell_that_it_is_current = { true },
    nothing_is_heard = { false },
)]
fn node_with_a_late_list_becomes_ready_without_another_answer_of_the_source(is_told: bool) {
    run_paused(async move {
        let known = node(1);
        sleep(LATE_BEFORE).await;
        let nodes = [known, gateway("node-02")];
        let (known, starting) = (&nodes[0], &nodes[1]);
        let store = Rc::new(OneLease::default());
        let rollouts = run_rollouts(Rc::clone(starting), store, Rc::new(NoOrders), SETTINGS);
        spawn_local(rollouts);
        sleep(LATE_BEFORE).await;
        starting.receive_peer_message(known.peer_message(true));
        configure(starting, table(1, Vec::new()));
        let asked_at = starting.clock().now().before(Duration::from_secs(2));
        starting.apply_list(ItemKind::Engines, Vec::new(), FIRST_REVISION, asked_at);
        assert_eq!(starting.state().node_state, NodeState::Starting);
        for _ in 0..50 {
            sleep(Duration::from_millis(200)).await;
            if is_told {
                introduce(&nodes);
            }
        }
        assert_eq!(starting.state().node_state, NodeState::Ready);
    });
}
