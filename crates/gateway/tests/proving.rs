//! Proving that the configuration is current, on a virtual clock.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::source::{CatalogueSource, ItemKind, keep_fresh};
use support::gateway_bench::{configure, gateway, run_paused};
use support::records::table;
use support::scripted_source::{Answer, ScriptedSource, unavailable, version};
use tokio::task::spawn_local;
use tokio::time::sleep;

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
