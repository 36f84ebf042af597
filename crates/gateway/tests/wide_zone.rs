//! What nodes tell each other in zones of a hundred nodes and more: it must not grow with the zone.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use rand::SeedableRng;
use rand::rngs::StdRng;
use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::engines::{EngineLoad, InFlight};
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::peers::{Capacity, Datagram, HolderUpdate, NodeState};
use ryerouter_gateway::placement::PartKey;
use support::fleet::{addresses, deliver, introduce, node};
use support::gateway_bench::run_paused;
use yare::parameterized;

/// A quarter of what a further request notices.
const LOAD: EngineLoad = EngineLoad {
    requests: 1,
    unread_tokens: 100,
    kv_tokens: 100,
};

/// So many nodes of one zone that serve and know each other.
fn zone_of(count: usize) -> Vec<Rc<Gateway>> {
    let mut nodes: Vec<_> = (0..count).map(node).collect();
    nodes.sort_by_key(|node| node.settings().identity.name.clone());
    for node in &nodes {
        node.state_mut().node_state = NodeState::Ready;
    }
    introduce(&nodes);
    nodes
}

fn receivers_of(node: &Gateway) -> Vec<SocketAddr> {
    node.peer_receivers(false, &mut StdRng::seed_from_u64(7))
}

fn work_at(node: &Gateway) -> InFlight {
    let state = node.state();
    let engine = state.engines.get(&BackEndName::new("e1")).unwrap();
    InFlight::new(Rc::clone(&engine.own_load), LOAD)
}

#[parameterized(
    a_hundred = { 100 },
    two_hundred = { 200 },
)]
fn heartbeat_goes_to_as_many_nodes_however_many_there_are(count: usize) {
    run_paused(async move {
        let nodes = zone_of(count);
        let readers = addresses(&nodes[..2]);
        for node in &nodes[2..] {
            let receivers = receivers_of(node);
            assert!(receivers.len() <= 10, "{}", receivers.len());
            assert!(readers.iter().all(|reader| receivers.contains(reader)));
        }
        let message = Datagram::Message(Box::new(nodes[5].peer_message(false)));
        let bytes = serde_json::to_vec(&message).unwrap().len();
        assert!(bytes < 1_024, "{bytes}");
    });
}

#[parameterized(
    a_hundred = { 100 },
    two_hundred = { 200 },
)]
fn work_of_all_nodes_reaches_each_through_the_reader(count: usize) {
    run_paused(async move {
        let nodes = zone_of(count);
        // A fifth of the nodes have a request there; none of them knows of another by itself.
        let working: Vec<_> = nodes.iter().step_by(5).map(|node| work_at(node)).collect();
        for node in &nodes[1..] {
            nodes[0].receive_peer_message(node.peer_message(false));
        }
        assert!(nodes[1].next_own_zone_updates().is_empty());
        let sent = deliver(&nodes, nodes[0].next_own_zone_updates());
        for (index, node) in nodes.iter().enumerate() {
            node.refresh_foreign_loads();
            let state = node.state();
            let load = state.engines.get(&BackEndName::new("e1")).unwrap().load();
            assert_eq!(load.requests as usize, working.len(), "node {index}");
        }
        // Whoever passes them on does so to its group.
        let most = sent.iter().max().copied().unwrap_or_default();
        assert!(most * most <= 2 * count, "{most}");
    });
}

#[test]
fn work_that_nobody_would_notice_is_told_to_nobody_in_a_wide_zone() {
    run_paused(async {
        let nodes = zone_of(100);
        let _working = work_at(&nodes[3]);
        nodes[0].receive_peer_message(nodes[3].peer_message(false));
        let (news, _) = nodes[0].next_zone_update(true).unwrap();
        assert_eq!(news.loads, Some(Vec::new()));
    });
}

/// Each node is asked by about as many as the square root of all.
#[parameterized(
    a_hundred = { 100 },
    two_hundred = { 200 },
)]
fn no_node_is_asked_by_more_than_a_few(count: usize) {
    run_paused(async move {
        let nodes = zone_of(count);
        let mut asked_by: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        for node in &nodes[1..] {
            let (address, _) = node.next_question().expect("relies on another");
            *asked_by.entry(address).or_default() += 1;
        }
        let most = asked_by.values().max().copied().unwrap_or_default();
        assert!(most <= 3 * count.isqrt(), "{most}");
        // All that are asked come before those that ask them, and the first of all reads.
        assert!(nodes[0].next_question().is_none());
    });
}

#[test]
fn larger_nodes_read_for_the_zone() {
    run_paused(async {
        let nodes = zone_of(100);
        let mut message = nodes[60].peer_message(false);
        message.from.capacity = Capacity(1_000);
        for node in &nodes[..60] {
            node.receive_peer_message(message.clone());
        }
        let (reader, _) = nodes[1].next_question().unwrap();
        assert_eq!(reader, message.from.peer_address);
        assert!(receivers_of(&nodes[40]).contains(&reader));
    });
}

#[test]
fn prefix_that_a_node_tells_of_reaches_all_of_its_zone() {
    run_paused(async {
        let nodes = zone_of(100);
        let key = PartKey(7);
        let news = HolderUpdate(key, BackEndName::new("e1"));
        nodes[40].state_mut().holder_updates.push(news);
        assert!(!nodes[40].has_peer_updates());
        nodes[0].receive_peer_message(nodes[40].peer_message(false));
        deliver(&nodes, nodes[0].next_own_zone_updates());
        let heard = nodes
            .iter()
            .filter(|node| node.state().holders.contains(key));
        assert!(heard.count() >= 99);
        // The other zones hear of it with the same heartbeat.
        assert_eq!(nodes[0].next_zone_update(false), None);
        let (news, _) = nodes[0].next_zone_update(true).unwrap();
        assert_eq!(news.holders.len(), 1);
        assert!(nodes[0].state().zone_updates.is_empty());
    });
}

/// Each message about each node that comes would be as many messages as the square of the nodes.
#[test]
fn settled_node_introduces_itself_only_to_those_that_know_few() {
    run_paused(async {
        let nodes = zone_of(100);
        nodes[0].peer_message(true);
        assert!(!nodes[0].owes_full_update());
        let newcomer = node(200);
        for node in &nodes[1..20] {
            newcomer.receive_peer_message(node.peer_message(true));
        }
        // It has heard of many, and so have they of it.
        nodes[0].receive_peer_message(newcomer.peer_message(false));
        assert!(!nodes[0].owes_full_update());
        nodes[0].receive_peer_message(node(201).peer_message(false));
        assert!(nodes[0].owes_full_update());
    });
}
