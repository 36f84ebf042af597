//! What a cold review of the mend of silent connections found, on a virtual clock; see
//! docs/incidents/2026-12-02-silent-connections.md.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::source::{Item, ItemBatch, ItemChange, ItemKind, NamedWeights};
use support::fleet::{introduce, node, zone_of_many};
use support::followers::{Followers, knows_leaving, three_engines};
use support::gateway_bench::run_paused;
use support::test_dialect::MODEL;
use support::virtual_source::VirtualSource;
use tokio::time::sleep;
use yare::parameterized;

/// How long a watch lasts in a small deployment.
const LONG_WATCH: Duration = Duration::from_secs(15);
/// A deployment has settled after this time.
const SETTLED: Duration = Duration::from_secs(8);
/// What has been undisturbed for this long keeps its promises again.
const CONTACT: Duration = Duration::from_secs(3);
/// Changes of engines and of the configuration are in force after this time.
const BOUND: Duration = Duration::from_secs(2);
/// A wait that is longer than any bound.
const LONG_ENOUGH: Duration = Duration::from_secs(20);

async fn settled(count: usize) -> Rc<Followers> {
    let source = VirtualSource::new(three_engines());
    let followers = Followers::start(count, source, LONG_WATCH);
    sleep(SETTLED).await;
    followers
}

fn names_second_weights() -> Vec<ItemChange> {
    let named = NamedWeights {
        model: MODEL.to_owned(),
        version: 2,
    };
    vec![ItemChange::Present(Item::Weights(named))]
}

/// The question for a proof is told that the history is gone, and the watch is silent.
#[parameterized(
    one_node = { 1 },
    three = { 3 },
    seven = { 7 },
    twelve = { 12 },
)]
fn configuration_is_in_force_after_silence_and_a_lost_history(count: usize) {
    run_paused(async move {
        let followers = settled(count).await;
        followers.source.silence(0..count);
        followers.source.change_something_else();
        followers.source.forget_history();
        sleep(CONTACT).await;
        followers.source.configure(2);
        let is_in_force = |node: &Gateway| node.configuration_version() == Some(2);
        let delay = followers.until_known(LONG_ENOUGH, is_in_force).await;
        assert!(delay.is_some_and(|delay| delay < BOUND), "{delay:?}");
    });
}

#[parameterized(
    one_node = { 1 },
    seven = { 7 },
)]
fn leaving_engine_is_known_after_silence_and_a_lost_history(count: usize) {
    run_paused(async move {
        let followers = settled(count).await;
        followers.source.silence(0..count);
        followers.source.change_something_else();
        followers.source.forget_history();
        sleep(CONTACT).await;
        followers.source.drain(three_engines().swap_remove(0));
        let delay = followers
            .until_known(LONG_ENOUGH, |node| knows_leaving(node, "e1"))
            .await;
        assert!(delay.is_some_and(|delay| delay < BOUND), "{delay:?}");
    });
}

/// Once a question has shown that the watch is silent, another one brings changes at once.
#[test]
fn silent_watch_is_replaced_once_it_is_found_out() {
    run_paused(async {
        let followers = settled(1).await;
        followers.source.silence([0]);
        sleep(CONTACT).await;
        let mut engines = three_engines();
        followers.source.drain(engines.swap_remove(0));
        sleep(BOUND).await;
        followers.source.drain(engines.swap_remove(0));
        let delay = followers
            .until_known(LONG_ENOUGH, |node| knows_leaving(node, "e3"))
            .await;
        let at_once = Duration::from_millis(50);
        assert!(delay.is_some_and(|delay| delay < at_once), "{delay:?}");
    });
}

/// A node that was cut off can't tell when weights were named; the others saw it.
#[parameterized(
    for_4_seconds = { 4 },
    for_10_seconds = { 10 },
)]
fn node_that_was_cut_off_does_not_date_weights_for_others(seconds: u64) {
    run_paused(async move {
        let followers = settled(7).await;
        followers.source.set_reachable(6, false);
        followers.source.silence([6]);
        followers.cut_off(6);
        sleep(Duration::from_secs(seconds)).await;
        followers.source.name_weights(2);
        sleep(Duration::from_millis(200)).await;
        followers.source.set_reachable(6, true);
        sleep(Duration::from_millis(1_800)).await;
        followers.join(6);
        sleep(Duration::from_millis(1_500)).await;
        // The grace is seven seconds, and the weights were named three and a half ago.
        let least = Duration::from_millis(3_000);
        for node in &followers.nodes {
            let now = node.clock().now();
            let until = node.state().deadlines.until(MODEL, 1);
            let rest = until.map(|until| until.since(now));
            assert!(rest.is_some_and(|rest| rest >= least), "{rest:?}");
        }
    });
}

/// The entries of engines may lapse with the source; they are waited for.
#[parameterized(
    three_nodes = { 3, 4_000 },
    twelve_3_s = { 12, 3_000 },
    twelve_4_s = { 12, 4_000 },
)]
fn entry_that_lapses_while_the_source_stands_still_is_waited_for(count: usize, millis: u64) {
    run_paused(async move {
        let followers = settled(count).await;
        let span = Duration::from_millis(millis);
        followers.source.freeze(span);
        sleep(span - Duration::from_millis(10)).await;
        followers.source.remove("e1");
        sleep(Duration::from_millis(1_500)).await;
        let name = BackEndName::new("e1");
        let is_known = |node: &Rc<Gateway>| node.state().engines.get(&name).is_some();
        let known = followers.nodes.iter().filter(|node| is_known(node)).count();
        assert_eq!(known, count);
    });
}

#[test]
fn proof_of_a_newer_copy_proves_nothing_of_an_older_one() {
    run_paused(async {
        let nodes = [node(1), node(2)];
        introduce(&nodes);
        introduce(&nodes);
        let changes = names_second_weights();
        sleep(Duration::from_secs(1)).await;
        introduce(&nodes);
        let now = nodes[0].clock().now();
        let batch = ItemBatch {
            changes,
            revision: 101.into(),
            is_whole: true,
        };
        nodes[0].apply_batch(ItemKind::Weights, batch, Some(now));
        let proven_at = |index: usize| {
            let state = nodes[index].state();
            state
                .replicas
                .of(ItemKind::Weights)
                .freshness
                .confirmed_at()
        };
        let before = proven_at(1);
        nodes[1].receive_peer_message(nodes[0].peer_message(true));
        assert!(nodes[1].state().replicas.of(ItemKind::Weights).is_behind());
        assert_eq!(proven_at(1), before);
    });
}

/// A node that relied on another has its changes too, so it must not say that nothing changed.
#[test]
fn node_that_relied_on_another_proves_no_copy_that_lacks_a_change() {
    run_paused(async {
        let nodes = zone_of_many();
        let (reader, relying) = (&nodes[0], &nodes[4]);
        let batch = ItemBatch {
            changes: names_second_weights(),
            revision: 101.into(),
            is_whole: true,
        };
        let now = reader.clock().now();
        reader.apply_batch(ItemKind::Weights, batch, Some(now));
        let (_, question) = relying.next_question().expect("relies on the reader");
        relying.apply_answer(reader.answer_question(&question));
        let revision = relying.state().replicas.of(ItemKind::Weights).revision;
        assert_eq!(revision, Some(101.into()));
        // The others leave, until two are left.
        sleep(Duration::from_secs(31)).await;
        for _ in 0..2 {
            introduce(&[Rc::clone(relying), Rc::clone(&nodes[5])]);
            for node in &nodes[4..6] {
                let now = node.clock().now();
                node.state_mut().peers.forget_silent(now);
            }
        }
        assert!(!relying.state().peers.is_large());
        let proofs = relying.peer_message(true).copies;
        let mut of_weights = proofs
            .iter()
            .filter(|proof| proof.kind == ItemKind::Weights);
        assert!(
            of_weights.all(|proof| proof.changed_until >= 101),
            "{proofs:?}"
        );
    });
}
