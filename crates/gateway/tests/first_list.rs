//! A list of engines that is taken in piece by piece while engines change.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use ryerouter_core::identity::{BackEndName, PoolName};
use ryerouter_gateway::catalogue::RequestKind;
use ryerouter_gateway::engines::{EngineEntry, EngineState};
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::source::{Item, ItemBatch, ItemChange, ItemKind};
use ryerouter_gateway::sync::{ListFetch, ListPiece};
use support::fleet::FIRST_REVISION;
use support::gateway_bench::run_paused;
use support::handing_on::{holder_at, holders, some_engines, starting};
use support::records::route;
use support::starting_fleet::{StartingFleet, has_whole_list, is_serving};
use tokio::time::sleep;

const OF_LATER_PIECE: &str = "e01000";

fn random() -> StdRng {
    StdRng::seed_from_u64(7)
}

fn state_of(node: &Gateway, name: &str) -> Option<EngineState> {
    let state = node.state();
    let engine = state.engines.get(&BackEndName::new(name));
    engine.map(|engine| engine.entry.state)
}

fn revision(node: &Gateway) -> Option<u64> {
    let revision = node.state().replicas.of(ItemKind::Engines).revision;
    revision.map(|revision| revision.number)
}

/// Applies a change that `node` has followed.
fn follow(node: &Gateway, change: ItemChange, revision: u64) {
    let changes = vec![change];
    let revision = revision.into();
    let batch = ItemBatch {
        changes,
        revision,
        is_whole: true,
    };
    node.apply_batch(ItemKind::Engines, batch, Some(node.clock().now()));
}

/// A node that has the first piece, and its next request.
struct Beginning {
    node: Rc<Gateway>,
    holder: Rc<Gateway>,
    next: (SocketAddr, ListFetch),
}

async fn begin(entries: &[EngineEntry]) -> Beginning {
    let others = holders(11, entries);
    let node = starting(&others).await;
    let (address, fetch) = node.next_list_fetch(&mut random()).expect("request");
    let holder = Rc::clone(holder_at(&others, address));
    let piece = holder.answer_list_fetch(&fetch).expect("piece");
    let next = node.apply_list_piece(address, piece, &mut random());
    let next = next.expect("request");
    Beginning { node, holder, next }
}

impl Beginning {
    /// Fetches the rest; each piece is changed by `alter`.
    fn complete(self, alter: impl Fn(&mut ListPiece)) -> Rc<Gateway> {
        let mut next = Some(self.next);
        while let Some((address, fetch)) = next {
            let mut piece = self.holder.answer_list_fetch(&fetch).expect("piece");
            alter(&mut piece);
            next = self.node.apply_list_piece(address, piece, &mut random());
        }
        assert!(has_whole_list(&self.node));
        self.node
    }
}

#[test]
fn node_serves_by_the_first_piece() {
    run_paused(async {
        let beginning = begin(&some_engines(1_300)).await;
        assert!(is_serving(&beginning.node));
        assert!(!has_whole_list(&beginning.node));
        assert_eq!(beginning.node.state().engines.count(), 512);
    });
}

#[test]
fn engine_that_goes_does_not_return_with_an_older_piece() {
    run_paused(async {
        let beginning = begin(&some_engines(1_300)).await;
        let gone = ItemChange::Gone(OF_LATER_PIECE.to_owned());
        follow(&beginning.node, gone, FIRST_REVISION + 5);
        let node = beginning.complete(|_| {});
        assert_eq!(state_of(&node, OF_LATER_PIECE), None);
        assert_eq!(revision(&node), Some(FIRST_REVISION + 5));
    });
}

#[test]
fn engine_that_drains_stays_draining_when_an_older_piece_comes() {
    run_paused(async {
        let entries = some_engines(1_300);
        let beginning = begin(&entries).await;
        let mut entry = entries[1_000].clone();
        assert_eq!(entry.name.as_str(), OF_LATER_PIECE);
        entry.state = EngineState::Draining;
        let drains = ItemChange::Present(Item::Engine(entry));
        follow(&beginning.node, drains, FIRST_REVISION + 5);
        let node = beginning.complete(|_| {});
        assert_eq!(state_of(&node, OF_LATER_PIECE), Some(EngineState::Draining));
    });
}

/// Changes between the two revisions are not known of the entries of the older piece.
#[test]
fn changes_are_followed_from_the_oldest_piece_on() {
    run_paused(async {
        let beginning = begin(&some_engines(1_300)).await;
        let node = beginning.complete(|piece| piece.revision = FIRST_REVISION - 7);
        assert_eq!(revision(&node), Some(FIRST_REVISION - 7));
        let (_, question) = node.next_question().expect("question");
        assert_eq!(question.engines, Some(FIRST_REVISION - 7));
    });
}

/// Answers to what was asked before the older piece came lack the changes in between.
#[test]
fn changes_between_two_revisions_are_not_skipped() {
    run_paused(async {
        let beginning = begin(&some_engines(1_300)).await;
        let node = Rc::clone(&beginning.node);
        let asked_at = node.clock().now();
        let (_, question) = node.next_question().expect("question");
        let answer = beginning.holder.answer_question(&question);
        beginning.complete(|piece| piece.revision = FIRST_REVISION - 7);
        node.apply_answer(answer);
        assert_eq!(revision(&node), Some(FIRST_REVISION - 7));
        let watched = ItemBatch {
            changes: Vec::new(),
            revision: (FIRST_REVISION + 9).into(),
            is_whole: true,
        };
        node.apply_batch(ItemKind::Engines, watched, Some(asked_at));
        assert_eq!(revision(&node), Some(FIRST_REVISION - 7));
    });
}

#[test]
fn part_of_the_list_is_handed_on_to_those_that_accept_it() {
    run_paused(async {
        let node = begin(&some_engines(1_300)).await.node;
        let fetch = |accepts_partial, after: Option<&str>| ListFetch {
            after: after.map(BackEndName::new),
            accepts_partial,
            before: None,
        };
        // A former build takes whatever it is sent for a part of a whole list.
        assert_eq!(node.answer_list_fetch(&fetch(false, None)), None);
        let piece = node.answer_list_fetch(&fetch(true, None)).expect("piece");
        assert_eq!(piece.next, Some(BackEndName::new("e00511")));
        let waiting = node.answer_list_fetch(&fetch(true, Some("e00511")));
        assert!(waiting.expect("answer").is_waiting);
    });
}

/// Pools without engines must not keep a node from serving the others.
#[test]
fn node_serves_though_a_pool_has_no_engine() {
    run_paused(async {
        let mut of_other_pool = route(RequestKind::Safe);
        of_other_pool.pools[0].pool = PoolName::new("without-engines");
        let routes = vec![route(RequestKind::Safe), of_other_pool];
        let mut fleet = StartingFleet::with_routes(1, 5_000, routes);
        fleet.source.set_answer_time(Duration::from_millis(200));
        fleet.start();
        let serving = fleet.until_serving(1.0, Duration::from_secs(3)).await;
        assert!(serving.is_some());
        assert!(!has_whole_list(&fleet.nodes[0]));
    });
}

/// What changed while the history was lost is not known of the entries that were there.
#[test]
fn list_begins_anew_when_the_history_is_lost_meanwhile() {
    run_paused(async {
        let mut fleet = StartingFleet::new(1, 5_000);
        fleet.source.set_answer_time(Duration::from_millis(200));
        fleet.start();
        sleep(Duration::from_secs(3)).await;
        let node = Rc::clone(&fleet.nodes[0]);
        assert!(is_serving(&node) && !has_whole_list(&node));
        let first = node
            .state()
            .engines
            .iter()
            .next()
            .map(|engine| engine.entry.name.clone());
        let first = first.expect("engine");
        fleet.source.forget_history_and_remove(first.as_str());
        sleep(Duration::from_secs(20)).await;
        assert_eq!(state_of(&node, first.as_str()), None);
        let whole = fleet
            .until(1.0, Duration::from_secs(60), has_whole_list)
            .await;
        assert!(whole.is_some());
        assert_eq!(state_of(&node, first.as_str()), None);
        assert_eq!(node.state().engines.count(), 4_999);
    });
}
