//! Proving that the configuration is current, on a virtual clock.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::source::{CatalogueSource, ItemKind, keep_fresh};
use support::followers::{Followers, three_engines};
use support::gateway_bench::{configure, gateway, run_paused};
use support::records::table;
use support::scripted_source::{Answer, ScriptedSource, unavailable, version};
use support::virtual_source::VirtualSource;
use tokio::task::spawn_local;
use tokio::time::sleep;
use yare::parameterized;

/// Allowed age of a proof.
const ALLOWED: Duration = Duration::from_secs(5);

fn start_proving(gateway: &Rc<Gateway>, source: &Rc<ScriptedSource>) {
    let mut state = gateway.state_mut();
    state.replicas.of_mut(ItemKind::Configuration).revision = Some(10.into());
    drop(state);
    let source: Rc<dyn CatalogueSource> = source.clone();
    spawn_local(keep_fresh(Rc::clone(gateway), source, ALLOWED));
}

fn empty() -> Answer {
    Answer::Batch {
        versions: vec![],
        revision: 10,
    }
}

#[test]
fn proof_never_gets_older_than_half_of_what_is_allowed() {
    run_paused(async {
        let source = ScriptedSource::new((0..100).map(|_| empty()));
        let gateway = gateway("node-1");
        configure(&gateway, table(1, Vec::new()));
        start_proving(&gateway, &source);
        for _ in 0..200 {
            sleep(Duration::from_millis(100)).await;
            let now = gateway.clock().now();
            assert!(gateway.state().freshness().is_within(ALLOWED / 2, now));
        }
        let asked = source.questions.borrow().len();
        assert!((8..=20).contains(&asked), "asked {asked} times in 20 s");
    });
}

#[test]
fn node_does_not_ask_while_others_prove() {
    run_paused(async {
        let source = ScriptedSource::new([]);
        let gateway = gateway("node-1");
        configure(&gateway, table(1, Vec::new()));
        start_proving(&gateway, &source);
        for _ in 0..100 {
            sleep(Duration::from_millis(100)).await;
            let now = gateway.clock().now();
            let mut state = gateway.state_mut();
            let replica = state.replicas.of_mut(ItemKind::Configuration);
            replica.freshness.confirm(now);
        }
        assert!(source.questions.borrow().is_empty());
    });
}

#[test]
fn node_without_answer_asks_again_and_the_proof_ages() {
    run_paused(async {
        let source = ScriptedSource::new((0..20).map(|_| unavailable()));
        let gateway = gateway("node-1");
        configure(&gateway, table(1, Vec::new()));
        start_proving(&gateway, &source);
        sleep(Duration::from_secs(6)).await;
        assert!(source.questions.borrow().len() > 3);
        let now = gateway.clock().now();
        assert!(!gateway.state().freshness().is_within(ALLOWED, now));
    });
}

#[test]
fn node_asks_at_once_when_another_has_a_newer_configuration() {
    run_paused(async {
        let newer = Answer::Batch {
            versions: vec![2],
            revision: 12,
        };
        let source = ScriptedSource::new([newer]);
        let first = gateway("node-1");
        let second = gateway("node-2");
        configure(&first, table(1, Vec::new()));
        configure(&second, table(2, Vec::new()));
        start_proving(&first, &source);
        second.receive_peer_message(first.peer_message(true));
        first.receive_peer_message(second.peer_message(true));
        sleep(Duration::from_millis(150)).await;
        assert_eq!(version(&first), Some(2));
    });
}

/// Nodes of a large deployment rely on the proofs of a reader; with older ones than this they ask the source themselves.
const OLDEST_PROOF: Duration = Duration::from_millis(1_400);
/// How long a watch lasts in a small deployment.
const LONG_WATCH: Duration = Duration::from_secs(15);
/// A deployment has settled after this time.
const SETTLED: Duration = Duration::from_secs(8);
/// Time between two looks at the proofs.
const LOOK: Duration = Duration::from_millis(10);
/// Number of configurations that follow each other.
const CONFIGURATIONS: u64 = 60;

/// Each answer to the reader's watch holds a change, and so proves nothing by itself.
#[parameterized(
    twelve_nodes_slowly = { 12, 330 },
    twelve_nodes_fast = { 12, 100 },
    thirty_nodes_slowly = { 30, 330 },
    thirty_nodes_fast = { 30, 100 },
)]
fn proofs_of_a_large_deployment_do_not_age_while_the_configuration_keeps_changing(
    count: usize,
    every_ms: u64,
) {
    run_paused(async move {
        let source = VirtualSource::new(three_engines());
        let followers = Followers::start(count, source, LONG_WATCH);
        sleep(SETTLED).await;
        let mut oldest = Duration::ZERO;
        for version in 2..2 + CONFIGURATIONS {
            followers.source.configure(version);
            for _ in 0..every_ms / LOOK.as_millis() as u64 {
                sleep(LOOK).await;
                let age = |node: &Rc<Gateway>| node.state().freshness().age(node.clock().now());
                let ages = followers
                    .nodes
                    .iter()
                    .map(|node| age(node).expect("proven"));
                oldest = ages.fold(oldest, Duration::max);
            }
        }
        assert!(oldest < OLDEST_PROOF, "{oldest:?}");
    });
}
