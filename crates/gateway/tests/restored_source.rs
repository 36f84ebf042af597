//! A source that comes back from a copy some seconds old, whose revisions are given out again.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::BackEndName;
use ryerouter_core::poison::{Crash, Digest};
use ryerouter_gateway::catalogue::RequestKind;
use ryerouter_gateway::engines::{EngineEntry, EngineState};
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::source::{Item, ItemBatch, ItemChange, ItemKind, Revision};
use support::fleet::introduce;
use support::gateway_bench::{gateway, gateway_with, run_paused};
use support::records::{engine, route, table};
use support::signalling::settings_of;
use tokio::time::sleep;
use yare::parameterized;

/// An entry of a copy has lapsed by then.
const LAPSE: Duration = Duration::from_millis(7_300);
/// Engines that the copy lacks are kept for so long (`unlisted_grace`).
const GRACE: Duration = Duration::from_millis(3_000);

fn entry(name: &str) -> EngineEntry {
    engine(name, "127.0.0.1:1".parse().unwrap(), 1)
}

fn draining(name: &str) -> EngineEntry {
    EngineEntry {
        state: EngineState::Draining,
        ..entry(name)
    }
}

fn list(node: &Gateway, revision: Revision, entries: impl IntoIterator<Item = EngineEntry>) {
    let items = entries.into_iter().map(Item::Engine).collect();
    let now = node.clock().now();
    node.apply_list(ItemKind::Engines, items, revision, now);
}

fn configure(node: &Gateway, revision: Revision, version: u64) {
    let table = table(version, vec![route(RequestKind::Safe)]).with_document(version.to_string());
    let items = vec![Item::Configuration(Rc::new(table))];
    let now = node.clock().now();
    node.apply_list(ItemKind::Configuration, items, revision, now);
}

fn change(node: &Gateway, revision: Revision, change: ItemChange) {
    let batch = ItemBatch {
        changes: vec![change],
        revision,
        is_whole: true,
    };
    node.apply_batch(ItemKind::Engines, batch, Some(node.clock().now()));
}

fn state_of(node: &Gateway, name: &str) -> Option<EngineState> {
    let state = node.state();
    let engine = state.engines.get(&BackEndName::new(name));
    engine.map(|engine| engine.entry.state)
}

fn at(era: u64, number: u64) -> Revision {
    Revision::new(era, number)
}

/// A node that has read all lists in the first era.
fn node(index: usize) -> Rc<Gateway> {
    let node = gateway_with(settings_of(index));
    configure(&node, at(1, 80), 59);
    list(&node, at(1, 90), ["e1", "e2", "e3"].map(entry));
    node
}

#[test]
fn list_of_a_later_era_is_taken_though_its_revision_is_lower() {
    run_paused(async {
        let node = node(0);
        list(&node, at(2, 60), ["e1", "e2", "e3", "e4"].map(entry));
        assert_eq!(state_of(&node, "e4"), Some(EngineState::Ready));
        let revision = node.state().replicas.of(ItemKind::Engines).revision;
        assert_eq!(revision, Some(at(2, 60)));
        // An answer of the former era that comes late tells nothing.
        change(&node, at(1, 95), ItemChange::Gone("e4".to_owned()));
        assert_eq!(state_of(&node, "e4"), Some(EngineState::Ready));
    });
}

#[test]
fn older_configuration_of_a_copy_is_not_used_but_proves_the_copy_current() {
    run_paused(async {
        let node = node(0);
        sleep(Duration::from_secs(4)).await;
        configure(&node, at(2, 50), 51);
        assert_eq!(node.configuration_version(), Some(59));
        let age = node.state().freshness().age(node.clock().now());
        assert!(age < Some(Duration::from_millis(10)), "{age:?}");
        configure(&node, at(2, 55), 63);
        assert_eq!(node.configuration_version(), Some(63));
    });
}

#[test]
fn engine_that_leaves_goes_on_leaving_whatever_the_copy_says() {
    run_paused(async {
        let node = node(0);
        change(
            &node,
            at(1, 91),
            ItemChange::Present(Item::Engine(draining("e1"))),
        );
        list(&node, at(2, 60), ["e1", "e2", "e3"].map(entry));
        assert_eq!(state_of(&node, "e1"), Some(EngineState::Draining));
        sleep(LAPSE).await;
        list(&node, at(2, 70), ["e1", "e2", "e3"].map(entry));
        assert_eq!(state_of(&node, "e1"), Some(EngineState::Draining));
    });
}

/// Until an entry of a copy would have lapsed; if it is still listed then, its process lives.
#[parameterized(
    lapses = { true },
    stays_listed = { false },
)]
fn engine_that_has_gone_does_not_come_back_by_the_copy(lapses: bool) {
    run_paused(async move {
        let node = node(0);
        change(&node, at(1, 91), ItemChange::Gone("e1".to_owned()));
        list(&node, at(2, 60), ["e1", "e2", "e3"].map(entry));
        assert_eq!(state_of(&node, "e1"), None);
        assert_eq!(state_of(&node, "e2"), Some(EngineState::Ready));
        if lapses {
            change(&node, at(2, 61), ItemChange::Gone("e1".to_owned()));
        }
        sleep(LAPSE).await;
        node.remove_unlisted();
        assert_eq!(state_of(&node, "e1").is_none(), lapses);
    });
}

#[test]
fn engine_that_writes_its_entry_again_is_used_at_once() {
    run_paused(async {
        let node = node(0);
        change(&node, at(1, 91), ItemChange::Gone("e1".to_owned()));
        list(&node, at(2, 60), ["e1", "e2", "e3"].map(entry));
        change(
            &node,
            at(2, 61),
            ItemChange::Present(Item::Engine(entry("e1"))),
        );
        assert_eq!(state_of(&node, "e1"), Some(EngineState::Ready));
    });
}

#[parameterized(
    writes_again = { true },
    is_gone = { false },
)]
fn engine_that_the_copy_lacks_is_kept_as_after_an_outage(writes_again: bool) {
    run_paused(async move {
        let node = node(0);
        list(&node, at(2, 60), ["e1", "e2"].map(entry));
        assert_eq!(state_of(&node, "e3"), Some(EngineState::Ready));
        if writes_again {
            change(
                &node,
                at(2, 61),
                ItemChange::Present(Item::Engine(entry("e3"))),
            );
        }
        sleep(GRACE + Duration::from_millis(100)).await;
        node.remove_unlisted();
        assert_eq!(state_of(&node, "e3").is_some(), writes_again);
    });
}

/// Its entry lapses after the first return, and the copy of the second one lists it again.
#[test]
fn engine_that_has_gone_stays_out_of_a_second_return_long_after_the_first() {
    run_paused(async {
        let node = node(0);
        change(&node, at(1, 91), ItemChange::Gone("e1".to_owned()));
        list(&node, at(2, 60), ["e1", "e2", "e3"].map(entry));
        change(&node, at(2, 61), ItemChange::Gone("e1".to_owned()));
        sleep(LAPSE).await;
        node.remove_unlisted();
        list(&node, at(3, 60), ["e1", "e2", "e3"].map(entry));
        assert_eq!(state_of(&node, "e1"), None);
    });
}

/// The store returns twice: what was barred after the first return is barred again.
#[test]
fn engine_that_has_gone_stays_out_over_two_returns() {
    run_paused(async {
        let node = node(0);
        change(&node, at(1, 91), ItemChange::Gone("e1".to_owned()));
        list(&node, at(2, 60), ["e1", "e2", "e3"].map(entry));
        sleep(Duration::from_secs(2)).await;
        list(&node, at(3, 50), ["e1", "e2", "e3"].map(entry));
        sleep(LAPSE - Duration::from_secs(1)).await;
        node.remove_unlisted();
        assert_eq!(state_of(&node, "e1"), None);
    });
}

/// A node that starts after the return learns from the others which engines have left.
#[test]
fn node_that_starts_later_learns_which_engines_have_left() {
    run_paused(async {
        let known = node(0);
        change(
            &known,
            at(1, 91),
            ItemChange::Present(Item::Engine(draining("e1"))),
        );
        change(&known, at(1, 92), ItemChange::Gone("e2".to_owned()));
        list(&known, at(2, 60), ["e1", "e2", "e3"].map(entry));
        for hears_first in [true, false] {
            let started = gateway_with(settings_of(1 + usize::from(hears_first)));
            let message = known.peer_message(true);
            if hears_first {
                started.receive_peer_message(message.clone());
            }
            list(&started, at(2, 60), ["e1", "e2", "e3"].map(entry));
            if !hears_first {
                started.receive_peer_message(message);
            }
            assert_eq!(state_of(&started, "e1"), Some(EngineState::Draining));
            assert_eq!(state_of(&started, "e2"), None);
            assert_eq!(state_of(&started, "e3"), Some(EngineState::Ready));
        }
    });
}

/// A node that stood still tells for long what it knew: an engine that lives is out of use once, for as long as an entry of
/// a copy takes to lapse.
#[test]
fn node_that_is_wrong_keeps_an_engine_out_of_use_once() {
    run_paused(async {
        let wrong = node(0);
        change(&wrong, at(1, 91), ItemChange::Gone("e1".to_owned()));
        list(&wrong, at(2, 60), ["e2", "e3"].map(entry));
        let right = node(1);
        list(&right, at(2, 60), ["e1", "e2", "e3"].map(entry));
        let message = wrong.peer_message(true);
        right.receive_peer_message(message.clone());
        assert_eq!(state_of(&right, "e1"), None);
        sleep(LAPSE).await;
        right.remove_unlisted();
        assert_eq!(state_of(&right, "e1"), Some(EngineState::Ready));
        right.receive_peer_message(message);
        assert_eq!(state_of(&right, "e1"), Some(EngineState::Ready));
    });
}

/// Nothing is told while the source stays in its era.
#[test]
fn departures_are_told_after_a_return_only() {
    run_paused(async {
        let node = node(0);
        change(&node, at(1, 91), ItemChange::Gone("e1".to_owned()));
        assert!(node.peer_message(true).departures.is_empty());
        list(&node, at(2, 60), ["e2", "e3"].map(entry));
        assert_eq!(node.peer_message(true).departures.len(), 1);
        sleep(Duration::from_secs(31)).await;
        assert!(node.peer_message(true).departures.is_empty());
    });
}

/// Callers' keys may have been taken away by the configuration that the copy lacks.
#[test]
fn node_that_starts_later_is_not_ready_with_the_older_configuration_of_a_copy() {
    run_paused(async {
        let known = node(0);
        list(&known, at(2, 60), ["e1", "e2", "e3"].map(entry));
        configure(&known, at(2, 50), 51);
        let started = gateway_with(settings_of(1));
        started.receive_peer_message(known.peer_message(true));
        configure(&started, at(2, 50), 51);
        list(&started, at(2, 60), ["e1", "e2", "e3"].map(entry));
        started.receive_peer_message(known.peer_message(true));
        assert_ne!(started.state().node_state.to_string(), "ready");
        let (_, fetch) = started.next_configuration_fetch().expect("a fetch");
        let chunk = known.answer_configuration_fetch(&fetch).expect("a chunk");
        started.apply_configuration_chunk(chunk);
        assert_eq!(started.configuration_version(), Some(59));
        assert_eq!(started.state().node_state.to_string(), "ready");
    });
}

/// A build that knows no eras is stuck in the former one. What it tells can't be compared.
#[test]
fn revisions_of_a_build_without_eras_are_not_compared_after_a_return() {
    run_paused(async {
        let nodes = [node(0), node(1)];
        introduce(&nodes);
        let [old, new] = &nodes;
        let mut message = old.peer_message(true);
        message.era = None;
        new.receive_peer_message(message.clone());
        assert!(!new.state().replicas.of(ItemKind::Engines).is_behind());
        list(new, at(2, 60), ["e1", "e2", "e3"].map(entry));
        message.sequence += 100;
        new.receive_peer_message(message);
        assert!(!new.state().replicas.of(ItemKind::Engines).is_behind());
        // In this build's own words, the node in the former era is behind.
        let told = new.peer_message(true);
        assert_eq!(told.era, Some(2));
        old.receive_peer_message(told);
        assert!(old.state().replicas.of(ItemKind::Engines).is_behind());
    });
}

/// The copy may lack what was found out of requests that crash engines.
#[test]
fn records_of_blocked_requests_are_written_again() {
    run_paused(async {
        let node = gateway("node-1");
        list(&node, at(1, 90), ["e1"].map(entry));
        node.state_mut().poison_records.has_store = true;
        let digest = Digest(7);
        for number in 0..3 {
            let now = node.clock().now();
            let crash = Crash {
                engine: BackEndName::new(format!("e{number}")),
                incarnation: None,
                began: now,
                ended: now.after(Duration::from_millis(10)),
                is_unproven: false,
            };
            node.note_poison_crash(digest, crash);
            sleep(Duration::from_secs(1)).await;
        }
        node.state_mut().poison_records.begin_write(digest);
        node.state_mut().poison_records.end_write(digest, Some(77));
        assert!(!node.state().poison_records.has_pending_write(digest));
        list(&node, at(2, 60), ["e1"].map(entry));
        let state = node.state();
        assert!(state.poison_records.has_pending_write(digest));
        assert_eq!(state.poison_records.revision(digest), None);
    });
}

/// The change log of one era says nothing to a node that is in the former one.
#[test]
fn node_of_the_former_era_is_handed_the_list() {
    run_paused(async {
        let nodes = [node(0), node(1)];
        introduce(&nodes);
        let [first, late] = &nodes;
        change(
            first,
            at(1, 91),
            ItemChange::Present(Item::Engine(entry("e4"))),
        );
        list(first, at(2, 60), ["e1", "e2", "e3", "e5"].map(entry));
        late.receive_peer_message(first.peer_message(true));
        sleep(Duration::from_millis(600)).await;
        late.receive_peer_message(first.peer_message(true));
        let (_, question) = late.next_question().expect("a question");
        let answer = first.answer_question(&question);
        assert!(answer.groups.is_none() && answer.changes.is_empty());
        late.apply_answer(answer);
        assert_eq!(state_of(late, "e5"), Some(EngineState::Ready));
        let revision = late.state().replicas.of(ItemKind::Engines).revision;
        assert_eq!(revision, Some(at(2, 60)));
    });
}
