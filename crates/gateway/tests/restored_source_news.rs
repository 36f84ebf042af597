//! What nodes tell each other of engines that have left, after the source has come back from a copy.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::engines::{EngineEntry, EngineState};
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::source::{Item, ItemBatch, ItemChange, ItemKind, Revision};
use support::gateway_bench::{gateway_with, run_paused};
use support::records::engine;
use support::signalling::settings_of;
use tokio::time::sleep;
use yare::parameterized;

/// An entry of a copy has lapsed by then.
const LAPSE: Duration = Duration::from_millis(7_300);

fn entry() -> EngineEntry {
    engine("e1", "127.0.0.1:1".parse().unwrap(), 1)
}

fn list(node: &Gateway, revision: Revision) {
    let now = node.clock().now();
    let items = vec![Item::Engine(entry())];
    node.apply_list(ItemKind::Engines, items, revision, now);
}

fn change(node: &Gateway, revision: Revision, change: ItemChange) {
    let batch = ItemBatch {
        changes: vec![change],
        revision,
        is_whole: true,
    };
    node.apply_batch(ItemKind::Engines, batch, Some(node.clock().now()));
}

fn state_of(node: &Gateway) -> Option<EngineState> {
    let state = node.state();
    let engine = state.engines.get(&BackEndName::new("e1"));
    engine.map(|engine| engine.entry.state)
}

/// The copy lists it as it was before, and other nodes use it as one that leaves once it is barred no more.
#[parameterized(
    said_that_it_leaves = { true, EngineState::Draining },
    lapsed = { false, EngineState::Ready },
)]
fn engine_that_said_that_it_leaves_is_not_used_again_by_a_node_that_has_just_started(
    has_said_so: bool,
    expected: EngineState,
) {
    run_paused(async move {
        let known: Rc<Gateway> = gateway_with(settings_of(0));
        list(&known, Revision::new(1, 90));
        if has_said_so {
            let draining = EngineEntry {
                state: EngineState::Draining,
                ..entry()
            };
            let draining = ItemChange::Present(Item::Engine(draining));
            change(&known, Revision::new(1, 91), draining);
        }
        change(
            &known,
            Revision::new(1, 92),
            ItemChange::Gone("e1".to_owned()),
        );
        list(&known, Revision::new(2, 60));
        let started = gateway_with(settings_of(1));
        started.receive_peer_message(known.peer_message(true));
        list(&started, Revision::new(2, 60));
        assert_eq!(state_of(&started), None);
        sleep(LAPSE).await;
        started.admit_barred_engines();
        known.admit_barred_engines();
        assert_eq!(state_of(&known), Some(expected));
        assert_eq!(state_of(&started), Some(expected));
    });
}
