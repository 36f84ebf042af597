//! Configurations that one node hands on to another.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::peers::Datagram;
use ryerouter_gateway::source::ItemKind;
use support::gateway_bench::{
    configure, gateway, gateway_with, list_engines, run_paused, settings,
};
use support::records::table;
use support::scripted_source::version;
use tokio::time::sleep;
use yare::parameterized;

/// Two nodes of a large deployment; the second has a newer configuration, and the source does not
/// answer the first one any more.
fn behind_and_ahead(document: &str) -> (Rc<Gateway>, Rc<Gateway>) {
    let first = gateway("node-1");
    configure(&first, table(1, Vec::new()));
    list_engines(&first, Vec::new());
    let mut own = settings("node-0");
    own.identity.incarnation = 2;
    own.identity.peer_address = "127.0.0.1:7".parse().unwrap();
    let second = gateway_with(own);
    list_engines(&second, Vec::new());
    configure(&second, table(2, Vec::new()).with_document(document));
    first.receive_peer_message(second.peer_message(true));
    (first, second)
}

/// Lets the first node fetch what it asks for; tells in how many pieces. Datagrams travel as JSON.
fn hand_over(first: &Gateway, second: &Gateway) -> usize {
    let mut pieces = 0;
    let mut next = first.next_configuration_fetch();
    while let Some((address, fetch)) = next {
        assert_eq!(address, second.settings().identity.peer_address);
        let chunk = second
            .answer_configuration_fetch(&fetch)
            .expect("has a document");
        let bytes = serde_json::to_vec(&Datagram::Chunk(chunk)).unwrap();
        let Ok(Datagram::Chunk(chunk)) = serde_json::from_slice(&bytes) else {
            panic!("not a chunk");
        };
        pieces += 1;
        next = first.apply_configuration_chunk(chunk);
    }
    pieces
}

#[parameterized(
    short = { 1, 1 },
    in_three_pieces = { 20_000, 3 },
    as_long_as_two_pieces = { 16_384, 2 },
)]
fn configuration_is_handed_on_to_a_node_that_the_source_does_not_answer(
    length: usize,
    pieces: usize,
) {
    run_paused(async move {
        let (first, second) = behind_and_ahead(&format!("{:>length$}", 2));
        assert!(
            first
                .state()
                .replicas
                .of(ItemKind::Configuration)
                .is_behind()
        );
        // While the source answers it is asked, since that costs the other node nothing.
        assert_eq!(first.next_configuration_fetch(), None);
        first.note_source_disruption(ItemKind::Configuration, 1);
        assert_eq!(hand_over(&first, &second), pieces);
        assert_eq!(version(&first), Some(2));
        assert!(
            !first
                .state()
                .replicas
                .of(ItemKind::Configuration)
                .is_behind()
        );
        assert_eq!(first.next_configuration_fetch(), None);
    });
}

#[test]
fn lost_and_repeated_pieces_do_no_harm() {
    run_paused(async {
        let (first, second) = behind_and_ahead(&format!("{:>20000}", 2));
        first.note_source_disruption(ItemKind::Configuration, 1);
        let (_, fetch) = first.next_configuration_fetch().expect("asks");
        let chunk = second.answer_configuration_fetch(&fetch).expect("answers");
        // The question was lost, and is asked again after a while.
        assert_eq!(first.next_configuration_fetch(), None);
        sleep(Duration::from_millis(250)).await;
        assert_eq!(
            first.next_configuration_fetch().expect("asks again").1,
            fetch
        );
        let (_, second_fetch) = first
            .apply_configuration_chunk(chunk.clone())
            .expect("goes on");
        assert_eq!(second_fetch.offset, chunk.text.len());
        let middle = second
            .answer_configuration_fetch(&second_fetch)
            .expect("answers");
        first.apply_configuration_chunk(middle.clone());
        // The same piece once more, out of its order.
        first.apply_configuration_chunk(middle);
        sleep(Duration::from_millis(250)).await;
        assert_eq!(hand_over(&first, &second), 1);
        assert_eq!(version(&first), Some(2));
    });
}

#[test]
fn newer_configuration_replaces_the_one_that_is_being_handed_on() {
    run_paused(async {
        let (first, second) = behind_and_ahead(&format!("{:>20000}", 2));
        first.note_source_disruption(ItemKind::Configuration, 1);
        let (_, fetch) = first.next_configuration_fetch().expect("asks");
        let chunk = second.answer_configuration_fetch(&fetch).expect("answers");
        let (_, fetch) = first.apply_configuration_chunk(chunk).expect("goes on");
        configure(
            &second,
            table(3, Vec::new()).with_document(format!("{:>9000}", 3)),
        );
        let chunk = second.answer_configuration_fetch(&fetch).expect("answers");
        assert_eq!((chunk.version, chunk.offset), (3, 0));
        let (_, fetch) = first.apply_configuration_chunk(chunk).expect("goes on");
        let chunk = second.answer_configuration_fetch(&fetch).expect("answers");
        assert_eq!(first.apply_configuration_chunk(chunk), None);
        assert_eq!(version(&first), Some(3));
    });
}

#[test]
fn unreadable_configuration_of_another_node_changes_nothing() {
    run_paused(async {
        let (first, second) = behind_and_ahead("no version");
        first.note_source_disruption(ItemKind::Configuration, 1);
        let (_, fetch) = first.next_configuration_fetch().expect("asks");
        let chunk = second.answer_configuration_fetch(&fetch).expect("answers");
        assert_eq!(first.apply_configuration_chunk(chunk), None);
        assert_eq!(version(&first), Some(1));
    });
}
