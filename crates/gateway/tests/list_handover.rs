//! Lists of engines that nodes hand on to each other in pieces.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::peers::{Datagram, NodeState};
use ryerouter_gateway::source::{ItemBatch, ItemChange, ItemKind};
use ryerouter_gateway::sync::{ListPiece, ListTransfer};
use support::fleet::FIRST_REVISION;
use support::gateway_bench::run_paused;
use support::handing_on::{holder_at, holders, some_engines, starting};
use tokio::time::sleep;
use yare::parameterized;

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
        let others = holders(11, &some_engines(count));
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
        let others = holders(11, &some_engines(1_300));
        let node = starting(&others).await;
        fetch(&node, &others);
        assert_eq!(node.next_list_fetch(&mut rand::rng()), None);
    });
}

#[test]
fn holder_that_falls_silent_is_left_for_another_one() {
    run_paused(async {
        let others = holders(11, &some_engines(1_300));
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
        let others = holders(11, &some_engines(1_300));
        let node = starting(&others).await;
        let mut random = StdRng::seed_from_u64(7);
        let (address, first_fetch) = node.next_list_fetch(&mut random).unwrap();
        let holder = holder_at(&others, address);
        let piece = holder.answer_list_fetch(&first_fetch).unwrap();
        let mut next = node.apply_list_piece(address, piece, &mut random);
        // An engine of the first piece goes meanwhile.
        let gone = ItemBatch {
            changes: vec![ItemChange::Gone("e00003".to_owned())],
            revision: (FIRST_REVISION + 5).into(),
            is_whole: true,
        };
        holder.apply_batch(ItemKind::Engines, gone, Some(holder.clock().now()));
        while let Some((_, fetch)) = next {
            let piece = holder.answer_list_fetch(&fetch).unwrap();
            next = node.apply_list_piece(address, piece, &mut random);
        }
        let revision = node.state().replicas.of(ItemKind::Engines).revision;
        assert_eq!(revision, Some((FIRST_REVISION + 1).into()));
        let (_, question) = node.next_question().unwrap();
        node.apply_answer(holder.answer_question(&question));
        let gone = BackEndName::new("e00003");
        assert!(node.state().engines.get(&gone).is_none());
    });
}

/// With each silent holder the transfer began anew, so that a list of many pieces never came while links were full.
#[test]
fn pieces_that_have_come_are_kept_when_another_node_is_asked() {
    run_paused(async {
        let others = holders(11, &some_engines(1_300));
        let node = starting(&others).await;
        fetch(&node, &others);
        let mut transfer = ListTransfer::default();
        let [first, second] = [0, 1].map(|index| others[index].settings().identity.peer_address);
        let mut now = node.clock().now();
        let (address, asked) = transfer.next(now, || Some(first)).unwrap();
        let piece = others[0].answer_list_fetch(&asked).unwrap();
        assert!(
            transfer
                .take(address, piece.clone(), piece.revision.into())
                .is_none()
        );
        for _ in 0..2 {
            assert_eq!(transfer.next(now, || Some(second)).unwrap().0, first);
            now = now.after(Duration::from_millis(450));
        }
        let (address, asked) = transfer.next(now, || Some(second)).unwrap();
        assert_eq!(address, second);
        assert_eq!(asked.after, Some(BackEndName::new("e00511")));
        let mut piece = others[1].answer_list_fetch(&asked).unwrap();
        piece.revision = FIRST_REVISION;
        assert!(
            transfer
                .take(address, piece.clone(), piece.revision.into())
                .is_none()
        );
        let (address, asked) = transfer.next(now, || None).unwrap();
        let piece = others[1].answer_list_fetch(&asked).unwrap();
        let whole = transfer
            .take(address, piece.clone(), piece.revision.into())
            .unwrap();
        assert_eq!(
            (whole.entries.len(), whole.revision),
            (1_300, FIRST_REVISION.into())
        );
    });
}
