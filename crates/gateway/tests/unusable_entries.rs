//! Entries of the list of engines that can't be read: what they named before is out of use.

mod support;

use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::engines::EngineEntry;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::source::{Item, ItemBatch, ItemChange, ItemKind};
use ryerouter_gateway::sync::{Answer, Mark, Question};
use support::fleet::{FIRST_REVISION, zone_of_many};
use support::gateway_bench::{gateway, list_engines, run};
use support::records::{FAILURES_OF_TROUBLE, engine};
use yare::parameterized;

const ENGINE: &str = "e1";
const OTHER: &str = "e2";

fn entry(name: &str) -> EngineEntry {
    engine(name, "127.0.0.1:1".parse().unwrap(), 1)
}

fn unusable() -> Item {
    Item::Unusable(BackEndName::new(ENGINE))
}

fn knows(gateway: &Gateway, name: &str) -> bool {
    let state = gateway.state();
    state.engines.get(&BackEndName::new(name)).is_some()
}

fn source_tells(gateway: &Gateway, change: Item, revision: u64) {
    let changes = vec![ItemChange::Present(change)];
    let revision = revision.into();
    let batch = ItemBatch {
        changes,
        revision,
        is_whole: true,
    };
    let now = gateway.clock().now();
    gateway.apply_batch(ItemKind::Engines, batch, Some(now));
}

fn trouble(gateway: &Gateway) {
    gateway.note_source_disruption(ItemKind::Engines, FAILURES_OF_TROUBLE);
}

/// An entry that only goes is waited for then, since the source loses entries of engines that serve.
#[parameterized(
    changed = { false },
    listed = { true },
)]
fn engine_of_an_entry_that_cannot_be_read_is_out_of_use_at_once_also_in_trouble(is_list: bool) {
    run(async {
        let gateway = gateway("node-1");
        list_engines(&gateway, vec![entry(ENGINE), entry(OTHER)]);
        trouble(&gateway);
        match is_list {
            true => {
                let items = vec![unusable(), Item::Engine(entry(OTHER))];
                let now = gateway.clock().now();
                gateway.apply_list(ItemKind::Engines, items, FIRST_REVISION, now);
            }
            false => source_tells(&gateway, unusable(), FIRST_REVISION),
        }
        assert!(!knows(&gateway, ENGINE));
        assert!(knows(&gateway, OTHER));
    });
}

#[test]
fn engine_that_writes_its_entry_again_is_used_again() {
    run(async {
        let gateway = gateway("node-1");
        list_engines(&gateway, vec![entry(ENGINE)]);
        source_tells(&gateway, unusable(), 101);
        assert!(!knows(&gateway, ENGINE));
        source_tells(&gateway, Item::Engine(entry(ENGINE)), 102);
        assert!(knows(&gateway, ENGINE));
        assert!(gateway.state().unusable_entries.is_empty());
    });
}

#[test]
fn entry_that_cannot_be_read_is_told_to_the_nodes_that_rely_on_the_reader() {
    run(async {
        let nodes = zone_of_many();
        let (reader, other) = (&nodes[0], &nodes[5]);
        trouble(other);
        source_tells(reader, unusable(), FIRST_REVISION + 1);
        let (_, question) = other.next_question().unwrap();
        let answer = serde_json::to_vec(&reader.answer_question(&question)).unwrap();
        let answer: Answer = serde_json::from_slice(&answer).unwrap();
        other.apply_answer(answer);
        assert!(!knows(other, ENGINE));
    });
}

#[test]
fn list_that_is_handed_on_tells_entries_that_cannot_be_read() {
    run(async {
        let nodes = zone_of_many();
        let (reader, other) = (&nodes[0], &nodes[5]);
        trouble(other);
        source_tells(reader, unusable(), FIRST_REVISION + 1);
        let told = reader.answer_question(&Question {
            number: 1,
            engines: None,
            weights: None,
            era: None,
            wants_list: true,
            reads_groups: false,
        });
        assert_eq!(told.unusable, [BackEndName::new(ENGINE)]);
        let (_, question) = other.next_question().unwrap();
        let answer = Answer {
            number: question.number,
            list: vec![entry(OTHER)],
            engines: Some(Mark {
                position: FIRST_REVISION + 1,
                age_ms: 1,
            }),
            ..told
        };
        other.apply_answer(answer);
        assert!(!knows(other, ENGINE) && knows(other, OTHER));
    });
}
