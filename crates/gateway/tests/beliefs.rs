//! What a gateway believes: configuration, engines, other nodes, proofs.

mod support;

use std::time::Duration;

use rand::SeedableRng;
use ryerouter_core::identity::{BackEndName, ZoneName};
use ryerouter_gateway::catalogue::{RequestKind, WeightedPool};
use ryerouter_gateway::engines::EngineState;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::peers::{KvStoreState, KvStoreUpdate};
use ryerouter_gateway::placement::{PartKey, store_holder_name};
use ryerouter_gateway::source::{Item, ItemChange, ItemKind};
use support::gateway_bench::{configure, gateway, gateway_with, list_engines, run, settings};
use support::records::{FAILURES_OF_TROUBLE, HOST, STORE, ZONE, engine, model_table, route, table};
use yare::parameterized;

const ENGINE: &str = "e1";

fn with_engine(gateway: &Gateway) {
    let entry = engine(ENGINE, "127.0.0.1:1".parse().unwrap(), 1);
    list_engines(gateway, vec![entry]);
}

fn engine_gone(gateway: &Gateway) {
    let gone = ItemChange::Gone(ENGINE.to_owned());
    gateway.apply_changes(ItemKind::Engines, vec![gone], gateway.clock().now());
}

fn knows_engine(gateway: &Gateway) -> bool {
    let state = gateway.state();
    state.engines.get(&BackEndName::new(ENGINE)).is_some()
}

#[parameterized(
    longest_prefix = { "shop.example", "/a/b/c", Some("inner") },
    outer = { "shop.example", "/a/x", Some("outer") },
    host_with_port_and_case = { "Shop.Example:80", "/a/b/", Some("inner") },
    other_host = { "else.example", "/a/b/", None },
    no_prefix = { "shop.example", "/b/", None },
)]
fn longest_prefix_of_the_host_decides(host: &str, path: &str, expected: Option<&str>) {
    let named = |name: &str, prefix: &str| {
        let mut route = route(RequestKind::Safe);
        route.name = name.to_owned();
        route.path_prefix = prefix.to_owned();
        route
    };
    let table = table(1, vec![named("outer", "/a/"), named("inner", "/a/b/")]);
    let found = table.route(host, path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
}

#[test]
fn split_route_gives_each_pool_its_share() {
    let mut route = route(RequestKind::Safe);
    route.host = HOST.to_owned();
    let part = |pool: &str, weight| WeightedPool {
        pool: pool.into(),
        weight,
    };
    route.pools = vec![part("large", 90), part("small", 10), part("none", 0)];
    let count = |pool: &str| {
        let ids = (0..10_000).map(|number| format!("request-{number}"));
        ids.filter(|id| route.pool_of(id).unwrap().as_str() == pool)
            .count()
    };
    assert!((8_800..9_200).contains(&count("large")));
    assert!((800..1_200).contains(&count("small")));
    assert_eq!(count("none"), 0);
}

#[test]
fn configuration_never_goes_back() {
    run(async {
        let gateway = gateway("node-1");
        configure(&gateway, table(5, vec![route(RequestKind::Safe)]));
        configure(&gateway, table(4, Vec::new()));
        let state = gateway.state();
        assert_eq!(state.table.as_ref().unwrap().version(), 5);
    });
}

#[test]
fn engine_whose_entry_goes_in_calm_times_is_out_of_use_at_once() {
    run(async {
        let gateway = gateway("node-1");
        with_engine(&gateway);
        engine_gone(&gateway);
        assert!(!knows_engine(&gateway));
    });
}

/// A watch may be cut in calm times: that says nothing of the entries.
#[test]
fn engine_whose_entry_goes_after_a_single_failed_call_is_out_of_use_at_once() {
    run(async {
        let gateway = gateway("node-1");
        with_engine(&gateway);
        gateway.note_source_disruption(ItemKind::Engines, 1);
        engine_gone(&gateway);
        assert!(!knows_engine(&gateway));
    });
}

#[test]
fn engine_whose_entry_goes_during_trouble_of_the_list_stays_for_a_while() {
    run(async {
        let mut short = settings("node-1");
        short.unlisted_grace = Duration::from_millis(200);
        let gateway = gateway_with(short);
        with_engine(&gateway);
        gateway.note_source_disruption(ItemKind::Engines, FAILURES_OF_TROUBLE);
        engine_gone(&gateway);
        assert!(knows_engine(&gateway));
        tokio::time::sleep(Duration::from_millis(250)).await;
        gateway.remove_unlisted();
        assert!(!knows_engine(&gateway));
    });
}

#[test]
fn lapsed_entry_is_waited_for_from_the_moment_at_which_the_list_is_read_again() {
    run(async {
        let mut short = settings("node-1");
        short.unlisted_grace = Duration::from_millis(200);
        let gateway = gateway_with(short);
        with_engine(&gateway);
        gateway.note_source_disruption(ItemKind::Engines, FAILURES_OF_TROUBLE);
        // The source was away for longer than its entries take to come back.
        tokio::time::sleep(Duration::from_millis(250)).await;
        engine_gone(&gateway);
        gateway.remove_unlisted();
        assert!(knows_engine(&gateway));
        tokio::time::sleep(Duration::from_millis(250)).await;
        gateway.remove_unlisted();
        assert!(!knows_engine(&gateway));
        // That is over: whatever goes now is gone.
        with_engine(&gateway);
        engine_gone(&gateway);
        assert!(!knows_engine(&gateway));
    });
}

#[test]
fn draining_engine_whose_entry_goes_is_never_kept() {
    run(async {
        let gateway = gateway("node-1");
        let mut entry = engine(ENGINE, "127.0.0.1:1".parse().unwrap(), 1);
        entry.state = EngineState::Draining;
        list_engines(&gateway, vec![entry]);
        gateway.note_source_disruption(ItemKind::Engines, FAILURES_OF_TROUBLE);
        engine_gone(&gateway);
        assert!(!knows_engine(&gateway));
    });
}

#[test]
fn weights_known_from_an_engine_are_not_taken_back_by_a_late_list() {
    run(async {
        let gateway = gateway("node-1");
        with_engine(&gateway);
        let name = BackEndName::new(ENGINE);
        gateway.note_weights(&name, "model", 3);
        with_engine(&gateway);
        let state = gateway.state();
        let engine = state.engines.get(&name).unwrap();
        assert_eq!(engine.weights_of("model"), Some(3));
    });
}

/// Two nodes that have heard of each other: the second has an echo of the first's message.
fn introduce(first: &Gateway, second: &Gateway) {
    second.receive_peer_message(first.peer_message(true));
    first.receive_peer_message(second.peer_message(true));
}

#[test]
fn proof_of_another_node_counts_for_the_same_version_only() {
    run(async {
        for (version, counts) in [(1, true), (2, false)] {
            let first = gateway("node-1");
            let second = gateway("node-2");
            configure(&first, table(1, Vec::new()));
            introduce(&first, &second);
            tokio::time::sleep(Duration::from_millis(30)).await;
            second.receive_peer_message(first.peer_message(false));
            configure(&second, table(version, Vec::new()));
            let before = first.state().freshness().age(first.clock().now());
            first.receive_peer_message(second.peer_message(false));
            let after = first.state().freshness().age(first.clock().now());
            assert_eq!(after < before, counts);
        }
    });
}

#[test]
fn proof_is_counted_back_from_the_own_message_and_not_from_its_arrival() {
    run(async {
        let first = gateway("node-1");
        let second = gateway("node-2");
        configure(&first, table(1, Vec::new()));
        introduce(&first, &second);
        second.receive_peer_message(first.peer_message(false));
        let asked_at = first.clock().now();
        configure(&second, table(1, Vec::new()));
        let message = second.peer_message(false);
        // As when the receiver was paused: the datagram waits.
        tokio::time::sleep(Duration::from_millis(50)).await;
        first.receive_peer_message(message);
        let now = first.clock().now();
        let age = first.state().freshness().age(now).unwrap();
        assert!(age >= now.since(asked_at));
    });
}

#[test]
fn node_that_leaves_is_not_handed_to_callers() {
    run(async {
        let zone = ZoneName::new(ZONE);
        let first = gateway("node-1");
        let second = gateway("node-2");
        for node in [&first, &second] {
            configure(node, table(1, Vec::new()));
            list_engines(node, Vec::new());
        }
        introduce(&first, &second);
        assert_eq!(first.addresses_near(&zone, 8).len(), 2);
        second.leave();
        first.receive_peer_message(second.peer_message(false));
        assert_eq!(first.addresses_near(&zone, 8).len(), 1);
        assert!(second.addresses_near(&zone, 8).len() <= 1);
    });
}

#[test]
fn message_that_comes_late_does_not_replace_a_newer_one() {
    run(async {
        let first = gateway("node-1");
        let second = gateway("node-2");
        configure(&second, table(1, Vec::new()));
        list_engines(&second, Vec::new());
        let ready = second.peer_message(false);
        second.leave();
        first.receive_peer_message(second.peer_message(false));
        first.receive_peer_message(ready);
        let now = first.clock().now();
        assert_eq!(first.state().peers.ready(now).count(), 0);
    });
}

#[test]
fn restarted_node_learns_from_others_when_weights_were_named() {
    run(async {
        let first = gateway("node-1");
        first.replace_items(ItemKind::Weights, Vec::new(), first.clock().now());
        let named = |version| {
            Item::Weights(ryerouter_gateway::source::NamedWeights {
                model: "model".to_owned(),
                version,
            })
        };
        let change = vec![ItemChange::Present(named(2))];
        first.apply_changes(ItemKind::Weights, change, first.clock().now());
        let second = gateway("node-2");
        second.receive_peer_message(first.peer_message(true));
        second.replace_items(ItemKind::Weights, vec![named(2)], second.clock().now());
        let until = second.state().deadlines.until("model", 1).unwrap();
        let now = second.clock().now();
        assert!(until.since(now) > Duration::from_secs(6));
        // Alone it must assume that they were named long ago.
        let alone = gateway("node-3");
        alone.replace_items(ItemKind::Weights, vec![named(2)], alone.clock().now());
        let until = alone.state().deadlines.until("model", 1).unwrap();
        assert!(until.since(alone.clock().now()) <= Duration::from_secs(2));
    });
}

#[parameterized(
    few_nodes_all_hear = { 8, 8, 8 },
    of_many_nodes_the_own_zone_hears_and_two_others = { 60, 22, 16 },
    of_very_many_nodes_a_bounded_number_hears = { 300, 10, 32 },
)]
fn messages_go_to_a_bounded_number_of_nodes(others: usize, expected: usize, echoes: usize) {
    run(async move {
        let gateway = gateway("node-0");
        for index in 0..others {
            let mut other = settings(&format!("node-{}", index + 1));
            let port = 10_000 + index;
            other.identity.peer_address = format!("127.0.0.1:{port}").parse().unwrap();
            other.identity.incarnation = index as u64 + 10;
            if index % 3 > 0 {
                other.identity.zone = ZoneName::new("zone-b");
            }
            gateway.receive_peer_message(gateway_with(other).peer_message(true));
        }
        let mut random = rand::rngs::StdRng::seed_from_u64(7);
        for _ in 0..20 {
            let receivers = gateway.peer_receivers(false, &mut random);
            assert_eq!(receivers.len(), expected);
        }
        for index in 0..60 {
            let address = format!("127.0.0.1:{}", 20_000 + index).parse().unwrap();
            gateway.state_mut().peers.suggest(address);
        }
        let receivers = gateway.peer_receivers(true, &mut random);
        assert!(receivers.len() <= expected + 4);
        let message = gateway.peer_message(true);
        assert_eq!(message.members.len(), others.min(16));
        assert_eq!(message.echoes.len(), echoes);
        let now = gateway.clock().now();
        assert_eq!(gateway.state().peers.alive(now).count(), others);
    });
}

#[test]
fn restart_of_the_kv_store_is_told_on_and_what_it_held_is_forgotten() {
    run(async {
        let first = gateway("node-1");
        let second = gateway("node-2");
        let address = STORE.parse().unwrap();
        let store = store_holder_name(address);
        for node in [&first, &second] {
            configure(node, model_table(Vec::new()));
            list_engines(node, Vec::new());
            let now = node.clock().now();
            node.state_mut().holders.note(PartKey(7), &store, now);
        }
        introduce(&first, &second);
        let is_stored = |node: &Gateway| {
            node.state()
                .holders
                .stored_at(PartKey(7), address)
                .is_some()
        };
        // One node asks for all.
        assert!(first.kv_stores_to_check() == [address]);
        assert!(second.kv_stores_to_check().is_empty());
        first.note_kv_store(KvStoreUpdate(address, KvStoreState::Up(1)));
        second.receive_peer_message(first.peer_message(false));
        assert!(is_stored(&first) && is_stored(&second));
        first.note_kv_store(KvStoreUpdate(address, KvStoreState::Up(2)));
        second.receive_peer_message(first.peer_message(false));
        assert!(!is_stored(&first) && !is_stored(&second));
        first.note_kv_store(KvStoreUpdate(address, KvStoreState::Down));
        second.receive_peer_message(first.peer_message(false));
        assert!(!second.state().kv_stores.is_up(address));
    });
}

#[test]
fn node_that_has_just_started_takes_only_a_small_share_of_the_retry_budget() {
    run(async {
        let gateway = gateway("node-1");
        let pool = "pool".into();
        let mut spent = 0;
        while gateway.spend_retry(&pool) {
            spent += 1;
        }
        // The floor of the tests is 100; sixteen such nodes stay below it together.
        assert!(spent >= 1);
        assert!(spent * 16 <= 100, "{spent} retries");
    });
}
