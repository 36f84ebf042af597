//! Following what engines tell of their caches.

mod support;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ryerouter_core::identity::{BackEndName, ZoneName};
use ryerouter_gateway::engines::EngineState;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::placement::{
    CacheChange, CacheChanges, CacheFeed, Cursor, PartKey, watch_caches,
};
use support::gateway_bench::{configure, gateway_with, list_engines, run, settings};
use support::records::{ZONE, engine, table};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;
use yare::parameterized;

const PART: PartKey = PartKey(7);

/// Nodes that know each other; the first ones stand in the zone of the engines.
fn nodes(near: usize, far: usize) -> Vec<Rc<Gateway>> {
    let nodes: Vec<_> = (0..near + far)
        .map(|index| {
            let zone = if index < near { ZONE } else { "zone-b" };
            node(index, zone)
        })
        .collect();
    for receiver in &nodes {
        for sender in &nodes {
            receiver.receive_peer_message(sender.peer_message(true));
        }
    }
    nodes
}

fn node(index: usize, zone: &str) -> Rc<Gateway> {
    let mut own = settings(&format!("node-{index:02}"));
    own.identity.incarnation = index as u64 + 10;
    own.identity.zone = ZoneName::new(zone);
    own.identity.peer_address = format!("127.0.0.1:{}", 100 + index).parse().unwrap();
    let node = gateway_with(own);
    configure(&node, table(1, Vec::new()));
    let engine = |index: u16| {
        let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + index));
        engine(&format!("e{index}"), address, 1)
    };
    list_engines(&node, (0..6).map(engine).collect());
    node
}

fn change(tokens: u32, is_held: bool) -> CacheChange {
    CacheChange {
        key: PART,
        tokens,
        is_held,
    }
}

fn holders(node: &Gateway) -> Vec<BackEndName> {
    let state = node.state();
    state
        .holders
        .of(PART)
        .map(|(name, _)| name.clone())
        .collect()
}

#[test]
fn each_cache_is_followed_by_one_node_of_its_zone() {
    run(async {
        let nodes = nodes(3, 3);
        let followed = |node: &Rc<Gateway>| node.caches_to_follow();
        let mut names: Vec<_> = nodes
            .iter()
            .flat_map(followed)
            .map(|(name, _)| name)
            .collect();
        names.sort();
        let expected: Vec<_> = (0..6)
            .map(|index| BackEndName::new(format!("e{index}")))
            .collect();
        assert_eq!(names, expected);
        assert!(
            nodes[3..]
                .iter()
                .all(|node| node.caches_to_follow().is_empty())
        );
    });
}

#[test]
fn cache_of_a_zone_without_nodes_is_followed_from_elsewhere() {
    run(async {
        let nodes = nodes(0, 3);
        let followed = nodes.iter().map(|node| node.caches_to_follow().len());
        assert_eq!(followed.sum::<usize>(), 6);
    });
}

#[parameterized(
    before_the_others_are_heard_of = { Some(Duration::from_secs(3_600)) },
    switched_off = { None },
)]
fn caches_are_not_followed(after: Option<Duration>) {
    run(async {
        let mut own = settings("node-1");
        own.cache_follow_delay = after;
        let node = gateway_with(own);
        configure(&node, table(1, Vec::new()));
        let address = SocketAddr::from(([127, 0, 0, 1], 1_000));
        list_engines(&node, vec![engine("e0", address, 1)]);
        assert_eq!(node.caches_to_follow(), []);
    });
}

#[test]
fn caches_are_not_followed_in_a_large_deployment() {
    run(async {
        let nodes = nodes(11, 0);
        assert!(nodes.iter().all(|node| node.caches_to_follow().is_empty()));
    });
}

#[test]
fn engine_that_leaves_or_has_no_weights_is_not_followed() {
    run(async {
        let node = node(0, ZONE);
        let address = SocketAddr::from(([127, 0, 0, 1], 1_000));
        let mut draining = engine("e0", address, 1);
        draining.state = EngineState::Draining;
        let mut plain = engine("plain", address, 1);
        plain.weights.clear();
        list_engines(&node, vec![draining, plain]);
        assert_eq!(node.caches_to_follow(), []);
    });
}

#[test]
fn what_an_engine_held_before_a_node_started_is_told_to_all() {
    run(async {
        let nodes = nodes(2, 1);
        let name = BackEndName::new("e0");
        nodes[0].apply_cache_changes(&name, &[change(500, true)], true);
        nodes[2].receive_peer_message(nodes[0].peer_message(false));
        let expected = [name];
        assert_eq!(holders(&nodes[0]), expected);
        assert_eq!(holders(&nodes[2]), expected);
    });
}

#[test]
fn dropped_part_is_told_with_the_next_message() {
    run(async {
        let nodes = nodes(2, 1);
        let name = BackEndName::new("e0");
        nodes[0].apply_cache_changes(&name, &[change(500, true)], true);
        nodes[2].receive_peer_message(nodes[0].peer_message(false));
        // Only the last of several changes counts.
        let changes = [change(0, false), change(500, true), change(128, false)];
        nodes[0].apply_cache_changes(&name, &changes, false);
        assert!(!nodes[0].has_peer_updates());
        assert_eq!(holders(&nodes[0]), []);
        nodes[2].receive_peer_message(nodes[0].peer_message(false));
        assert_eq!(holders(&nodes[2]), []);
        assert_eq!(nodes[0].peer_message(false).dropped, []);
    });
}

#[test]
fn part_that_no_other_node_knows_is_dropped_in_silence() {
    run(async {
        let node = node(0, ZONE);
        let name = BackEndName::new("e0");
        let now = node.clock().now();
        node.state_mut().holders.note_local(PART, &name, now);
        node.apply_cache_changes(&name, &[change(0, false)], false);
        assert_eq!(holders(&node), []);
        assert_eq!(node.peer_message(false).dropped, []);
    });
}

#[test]
fn later_only_parts_count_that_are_known_and_not_small() {
    run(async {
        let node = node(0, ZONE);
        let (first, second) = (BackEndName::new("e0"), BackEndName::new("e1"));
        node.apply_cache_changes(&first, &[change(500, true)], false);
        assert_eq!(holders(&node), []);
        node.apply_cache_changes(&first, &[change(500, true)], true);
        node.apply_cache_changes(&second, &[change(500, true)], false);
        assert_eq!(holders(&node), [first, second]);
        let third = BackEndName::new("e2");
        node.apply_cache_changes(&third, &[change(100, true)], true);
        assert!(!holders(&node).contains(&third));
    });
}

/// Answers the first question after a time, and remembers what was asked.
#[derive(Default)]
struct ScriptedFeed {
    asked: RefCell<Vec<(BackEndName, Option<Cursor>)>>,
    is_silent: bool,
}

impl CacheFeed for ScriptedFeed {
    fn changes(
        &self,
        engine: BackEndName,
        _address: SocketAddr,
        since: Option<Cursor>,
    ) -> LocalBoxFuture<'_, Option<CacheChanges>> {
        self.asked.borrow_mut().push((engine, since));
        let told = (!self.is_silent).then(|| CacheChanges {
            next: since.unwrap_or_default() + 10,
            ..CacheChanges::default()
        });
        async move {
            sleep(Duration::from_millis(500)).await;
            told
        }
        .boxed_local()
    }
}

fn questions_to_e0(feed: ScriptedFeed) -> Vec<Option<Cursor>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, async {
        let feed = Rc::new(feed);
        let following = spawn_local(watch_caches(node(0, ZONE), feed.clone()));
        sleep(Duration::from_millis(1_900)).await;
        following.abort();
        let asked = feed.asked.borrow();
        let to_first = asked.iter().filter(|(name, _)| name.as_str() == "e0");
        to_first.map(|(_, since)| *since).collect()
    })
}

#[test]
fn engine_is_asked_one_question_at_a_time_from_where_the_last_ended() {
    let asked = questions_to_e0(ScriptedFeed::default());
    assert_eq!(asked, [None, Some(10), Some(20)]);
}

#[test]
fn engine_that_did_not_answer_is_asked_again_for_all() {
    let asked = questions_to_e0(ScriptedFeed {
        is_silent: true,
        ..ScriptedFeed::default()
    });
    assert_eq!(asked, [None, None, None]);
}
