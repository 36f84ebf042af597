//! Lists of engines that nodes hand on to each other in pieces.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::engines::EngineEntry;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::peers::{Datagram, NodeState};
use ryerouter_gateway::source::{Item, ItemBatch, ItemChange, ItemKind};
use ryerouter_gateway::sync::ListPiece;
use support::fleet::{FIRST_REVISION, node};
use support::gateway_bench::{configure, gateway_with, run_paused, settings};
use support::records::{engine, table};
use tokio::time::sleep;
use yare::parameterized;

fn engines(count: usize) -> Vec<EngineEntry> {
    let address = |index: usize| SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16));
    (0..count)
        .map(|index| engine(&format!("e{index:05}"), address(index), 1))
        .collect()
}

/// Nodes that serve; each has this list.
fn holders(count: usize, entries: &[EngineEntry]) -> Vec<Rc<Gateway>> {
    let nodes: Vec<_> = (0..count).map(node).collect();
    for node in &nodes {
        let items = entries.iter().cloned().map(Item::Engine).collect();
        node.apply_list(
            ItemKind::Engines,
            items,
            FIRST_REVISION + 1,
            node.clock().now(),
        );
        node.state_mut().node_state = NodeState::Ready;
    }
    nodes
}

/// A node that has heard of the others, and that the source has told no list.
async fn starting(others: &[Rc<Gateway>]) -> Rc<Gateway> {
    let mut own = settings("node-99");
    own.identity.incarnation = 99;
    own.identity.peer_address = "127.0.0.1:999".parse().unwrap();
    let node = gateway_with(own);
    configure(&node, table(1, Vec::new()));
    for other in others {
        node.receive_peer_message(other.peer_message(true));
    }
    sleep(Duration::from_millis(600)).await;
    for other in others {
        node.receive_peer_message(other.peer_message(true));
    }
    node
}

fn holder_at(nodes: &[Rc<Gateway>], address: SocketAddr) -> &Rc<Gateway> {
    let is_there = |node: &&Rc<Gateway>| node.settings().identity.peer_address == address;
    nodes.iter().find(is_there).expect("holder")
}

fn bytes(piece: &ListPiece) -> usize {
    let datagram = Datagram::ListPiece(piece.clone());
    serde_json::to_vec(&datagram).unwrap().len()
}

/// Lets a node fetch the list; tells how many pieces came and their bytes.
fn fetch(node: &Gateway, others: &[Rc<Gateway>]) -> (usize, usize) {
    let mut random = StdRng::seed_from_u64(7);
    let mut next = node.next_list_fetch(&mut random);
    let (mut pieces, mut all_bytes) = (0, 0);
    while let Some((address, fetch)) = next {
        let piece = holder_at(others, address)
            .answer_list_fetch(&fetch)
            .unwrap();
        pieces += 1;
        all_bytes += bytes(&piece);
        assert!(bytes(&piece) < 50_000);
        next = node.apply_list_piece(address, piece, &mut random);
    }
    (pieces, all_bytes)
}

fn listed(node: &Gateway) -> usize {
    node.state().engines.count()
}

#[parameterized(
    a_hundred = { 100, 1 },
    a_thousand = { 1_000, 2 },
    twenty_thousand = { 20_000, 40 },
)]
fn list_comes_in_as_many_pieces_as_it_has_entries(count: usize, expected: usize) {
    run_paused(async move {
        let others = holders(11, &engines(count));
        let node = starting(&others).await;
        let (pieces, bytes) = fetch(&node, &others);
        assert_eq!(listed(&node), count);
        assert_eq!(pieces, expected);
        assert!(bytes < 1_000 + count * 60, "{bytes}");
        assert_eq!(node.state().node_state, NodeState::Ready);
    });
}

#[test]
fn node_that_the_source_has_told_asks_nobody() {
    run_paused(async {
        let others = holders(11, &engines(1_300));
        let node = starting(&others).await;
        fetch(&node, &others);
        assert_eq!(node.next_list_fetch(&mut rand::rng()), None);
    });
}

#[test]
fn holder_that_falls_silent_is_left_for_another_one() {
    run_paused(async {
        let others = holders(11, &engines(1_300));
        let node = starting(&others).await;
        let mut random = StdRng::seed_from_u64(7);
        let (first, _) = node.next_list_fetch(&mut random).unwrap();
        assert_eq!(node.next_list_fetch(&mut random), None);
        sleep(Duration::from_millis(450)).await;
        assert_eq!(node.next_list_fetch(&mut random).unwrap().0, first);
        let mut asked = first;
        while asked == first {
            sleep(Duration::from_millis(450)).await;
            for other in &others {
                node.receive_peer_message(other.peer_message(true));
            }
            asked = node.next_list_fetch(&mut random).unwrap().0;
        }
    });
}

/// What changes while the pieces are on their way is caught up with from the first piece's revision.
#[test]
fn change_between_pieces_is_not_lost() {
    run_paused(async {
        let others = holders(11, &engines(1_300));
        let node = starting(&others).await;
        let mut random = StdRng::seed_from_u64(7);
        let (address, first_fetch) = node.next_list_fetch(&mut random).unwrap();
        let holder = holder_at(&others, address);
        let piece = holder.answer_list_fetch(&first_fetch).unwrap();
        let mut next = node.apply_list_piece(address, piece, &mut random);
        // An engine of the first piece goes meanwhile.
        let gone = ItemBatch {
            changes: vec![ItemChange::Gone("e00003".to_owned())],
            revision: FIRST_REVISION + 5,
        };
        holder.apply_batch(ItemKind::Engines, gone, Some(holder.clock().now()));
        while let Some((_, fetch)) = next {
            let piece = holder.answer_list_fetch(&fetch).unwrap();
            next = node.apply_list_piece(address, piece, &mut random);
        }
        let revision = node.state().replicas.of(ItemKind::Engines).revision;
        assert_eq!(revision, Some(FIRST_REVISION + 1));
        let (_, question) = node.next_question().unwrap();
        node.apply_answer(holder.answer_question(&question));
        let gone = BackEndName::new("e00003");
        assert!(node.state().engines.get(&gone).is_none());
    });
}
