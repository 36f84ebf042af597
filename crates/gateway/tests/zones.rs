//! News between zones of a large deployment.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::engines::{EngineLoad, InFlight};
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::peers::HolderUpdate;
use ryerouter_gateway::placement::{CandidateCost, PartKey, Placement, PromptKeys};
use support::fleet::{addresses, deliver, introduce, node, node_in, two_zones};
use support::gateway_bench::{gateway_with, run, settings};
use support::records::ZONE;
use yare::parameterized;

#[test]
fn one_node_of_a_zone_tells_one_of_the_other_which_passes_it_on() {
    run(async {
        let nodes = two_zones();
        let key = PartKey(7);
        let engine = BackEndName::new("e1");
        let heard = |node: &Gateway| node.state().holders.of(key).count();
        // A node that is not the first of its zone tells its own zone, and the first goes on.
        let now = nodes[3].clock().now();
        nodes[3]
            .state_mut()
            .holder_updates
            .push(HolderUpdate(key, engine.clone()));
        nodes[0].receive_peer_message(nodes[3].peer_message(false));
        assert!(nodes[3].next_zone_update(true).is_none());
        let (news, relays) = nodes[0].next_zone_update(false).unwrap();
        assert_eq!(relays, addresses(&nodes[6..7]));
        deliver(&nodes, vec![(news, relays)]);
        assert!(nodes[6..].iter().all(|node| heard(node) == 1));
        assert!(nodes[0].next_zone_update(false).is_none());
        assert!(nodes[0].clock().now() >= now);
    });
}

#[test]
fn work_of_another_zone_counts_at_an_engine_until_it_is_old() {
    run(async {
        let nodes = two_zones();
        let engine = BackEndName::new("e1");
        let load = EngineLoad {
            requests: 3,
            unread_tokens: 500,
            kv_tokens: 900,
        };
        let own_load = {
            let state = nodes[0].state();
            Rc::clone(&state.engines.get(&engine).unwrap().own_load)
        };
        let working = InFlight::new(own_load, load);
        let (news, _) = nodes[0].next_zone_update(true).unwrap();
        nodes[6].receive_zone_update(&news);
        let seen = |node: &Gateway| {
            node.refresh_foreign_loads();
            node.state().engines.get(&engine).unwrap().load()
        };
        assert_eq!(seen(&nodes[6]), load);
        drop(working);
        let (news, _) = nodes[0].next_zone_update(true).unwrap();
        nodes[6].receive_zone_update(&news);
        assert_eq!(seen(&nodes[6]), EngineLoad::default());
    });
}

#[test]
fn short_and_own_parts_of_prompts_are_not_told() {
    run(async {
        let gateway = gateway_with(settings("node-1"));
        let keys = [(1, 100), (2, 300), (3, 900)];
        let keys = keys.map(|(key, tokens)| (PartKey(key), tokens));
        gateway.note_prefill_done(&Placement {
            engine: BackEndName::new("e1"),
            incarnation: None,
            software: String::new(),
            address: "127.0.0.1:1".parse().unwrap(),
            weights: Some(1),
            salt: None,
            keys: PromptKeys(keys.to_vec()),
            cached_tokens: 0,
            unread_tokens: 900,
            fetch: None,
            save_to: None,
            cost: CandidateCost::default(),
        });
        let told = gateway.peer_message(false).holders;
        let told: Vec<_> = told.iter().map(|news| news.0).collect();
        assert_eq!(told, [PartKey(2)]);
        assert_eq!(gateway.state().holders.of(PartKey(3)).count(), 1);
    });
}

#[parameterized(
    six_in_each_zone = { 6 },
    thirty_in_each_zone = { 30 },
)]
fn start_and_end_of_a_load_are_told_to_every_node(of_zone: usize) {
    run(async move {
        let zone_of = |index: usize| if index < of_zone { ZONE } else { "zone-b" };
        let nodes: Vec<_> = (0..2 * of_zone)
            .map(|index| node_in(index, zone_of(index)))
            .collect();
        introduce(&nodes);
        let engine = BackEndName::new("e1");
        let taking = || {
            let takes_work = |node: &&Rc<Gateway>| {
                let now = node.clock().now();
                node.state().engines.get(&engine).unwrap().takes_work(now)
            };
            nodes.iter().filter(takes_work).count()
        };
        assert_eq!(taking(), nodes.len());
        nodes[3].note_loading(&engine, "model", 2, Duration::from_secs(3));
        let envelopes = nodes[3].next_urgent_updates();
        let first: usize = envelopes.iter().map(|parcel| parcel.1.len()).sum();
        let sent = deliver(&nodes, envelopes);
        assert_eq!(taking(), 0);
        // No node sends to all of a zone: twice its square root, and two in the other zone.
        let most = sent.iter().max().copied().unwrap().max(first);
        let bound = 2 * (of_zone as f64).sqrt().ceil() as usize + 2;
        assert!(most <= bound, "{most} messages of one node");
        nodes[3].note_loaded(&engine, "model", 2, Duration::from_secs(1));
        deliver(&nodes, nodes[3].next_urgent_updates());
        assert_eq!(taking(), nodes.len());
        assert!(nodes[3].next_urgent_updates().is_empty());
    });
}

#[test]
fn load_in_a_small_deployment_is_told_in_the_next_message_to_all() {
    run(async {
        let nodes: Vec<_> = (0..7).map(node).collect();
        introduce(&nodes);
        nodes[0].note_loading(&BackEndName::new("e1"), "model", 2, Duration::from_secs(3));
        assert!(nodes[0].next_urgent_updates().is_empty());
        assert_eq!(nodes[0].peer_message(false).weights.len(), 1);
        let receivers = nodes[0].peer_receivers(false, &mut rand::rng());
        assert_eq!(receivers, addresses(&nodes[1..]));
    });
}

#[test]
fn node_that_leaves_tells_every_other() {
    run(async {
        let nodes = two_zones();
        let mut random = rand::rng();
        assert_eq!(nodes[0].peer_receivers(false, &mut random).len(), 5 + 2);
        nodes[0].leave();
        let receivers = nodes[0].peer_receivers(false, &mut random);
        assert_eq!(receivers, addresses(&nodes[1..]));
    });
}
