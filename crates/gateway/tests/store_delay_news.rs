//! What nodes tell each other about slow KV stores: each of them measures too few requests to tell a
//! slow store from a slow engine.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::{PoolName, ZoneName};
use ryerouter_gateway::catalogue::{CacheScope, RequestKind};
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::peers::{Datagram, NodeState, PeerMessage, ZoneUpdate};
use ryerouter_gateway::placement::{
    KvFetch, KvHolder, Placement, PlacementRequest, SourceDelayUpdate,
};
use serde_json::{Value, json};
use support::fleet::{deliver, introduce};
use support::gateway_bench::{
    GatewayBench, configure, gateway_logging_to, gateway_with, list_engines, run, run_paused,
    settings,
};
use support::log_lines::{LogLines, value};
use support::records::{POOL, STORE, ZONE, engine, model_table, route};
use support::scripted_engine::{ScriptedEngine, Step};
use support::test_dialect::{ID, PARTS, prompt};
use tokio::time::sleep;
use yare::parameterized;

const OTHER_ZONE: &str = "zone-b";
const DELAY_MS: u64 = 800;

fn store() -> SocketAddr {
    STORE.parse().unwrap()
}

fn prepare(node: Rc<Gateway>) -> Rc<Gateway> {
    configure(&node, model_table(vec![route(RequestKind::Streaming)]));
    let address = SocketAddr::from(([127, 0, 0, 1], 1_000));
    list_engines(&node, vec![engine("e0", address, 1)]);
    node.state_mut().node_state = NodeState::Ready;
    node
}

fn node(index: usize, zone: &str) -> Rc<Gateway> {
    let mut own = settings(&format!("node-{index:03}"));
    own.identity.incarnation = index as u64 + 10;
    own.identity.zone = ZoneName::new(zone);
    own.identity.peer_address = format!("127.0.0.1:{}", 10_000 + index).parse().unwrap();
    prepare(gateway_with(own))
}

/// Nodes that know each other, in order of their names; so many in the first zone and in the other.
fn nodes(near: usize, far: usize) -> Vec<Rc<Gateway>> {
    let zone = |index| if index < near { ZONE } else { OTHER_ZONE };
    let nodes: Vec<_> = (0..near + far)
        .map(|index| node(index, zone(index)))
        .collect();
    introduce(&nodes);
    nodes
}

/// A request of the node whose first token comes `late_ms` later than expected.
fn measure(node: &Gateway, fetches: bool, late_ms: u64) {
    let mut placement = place(node);
    placement.fetch = fetches.then(|| KvFetch {
        holder: KvHolder::Store,
        address: store(),
        tokens: 200,
    });
    let expected = node.expected_prefill(&placement).expect("prompt");
    let after = expected + Duration::from_millis(late_ms);
    node.note_first_token(&PoolName::new(POOL), "route", &placement, expected, after);
}

fn place(node: &Gateway) -> Placement {
    let request = PlacementRequest {
        id: "r1",
        pool: &PoolName::new(POOL),
        prompt: Some(&prompt("s,x,1")),
        cache_scope: &CacheScope::default(),
        target_latency: Duration::from_millis(500),
        body_bytes: 1_000,
        tried: &[],
    };
    node.choose(&request).expect("engine")
}

/// Each node measures a request with a fetch and one without, and later another of each. The values
/// vary a little.
fn measure_delay(nodes: &[Rc<Gateway>]) {
    for (index, node) in nodes.iter().enumerate() {
        let vary = 40 * (index as u64 % 3);
        for fetches in [true, false, true, false] {
            measure(node, fetches, vary + u64::from(fetches) * DELAY_MS);
        }
    }
}

fn is_slow(node: &Rc<Gateway>) -> bool {
    node.refresh_source_delays();
    node.state().kv_stores.delays().is_slow(store())
}

/// Each node tells the others of its zone what it has measured.
fn tell(nodes: &[Rc<Gateway>]) {
    for from in nodes {
        let message = from.peer_message(false);
        for to in nodes {
            to.receive_peer_message(message.clone());
        }
    }
}

#[test]
fn nodes_learn_of_a_slow_store_from_each_other() {
    run_paused(async {
        let nodes = nodes(8, 0);
        for _ in 0..10 {
            measure_delay(&nodes[..7]);
            // One node neither sends requests nor hears of others' measurements.
            tell(&nodes[..7]);
            let _ = nodes.iter().map(is_slow).collect::<Vec<_>>();
            sleep(Duration::from_millis(200)).await;
        }
        assert!(nodes[..7].iter().all(is_slow));
        assert!(!is_slow(&nodes[7]));
        for _ in 0..10 {
            measure_delay(&nodes[..7]);
            tell(&nodes);
            let _ = nodes.iter().map(is_slow).collect::<Vec<_>>();
            sleep(Duration::from_millis(200)).await;
        }
        assert!(is_slow(&nodes[7]));
        for _ in 0..20 {
            is_slow(&nodes[7]);
            sleep(Duration::from_millis(200)).await;
        }
        assert!(!is_slow(&nodes[7]));
    });
}

#[test]
fn measurements_of_another_zone_come_with_its_update() {
    run_paused(async {
        let nodes = nodes(6, 6);
        for _ in 0..10 {
            measure_delay(&nodes[..6]);
            tell(&nodes[..6]);
            let _ = nodes.iter().map(is_slow).collect::<Vec<_>>();
            let envelope = nodes[0].next_zone_update(true).expect("update");
            assert_eq!(envelope.0.source_delays.len(), 1);
            deliver(&nodes, vec![envelope]);
            sleep(Duration::from_millis(200)).await;
        }
        assert!(nodes[6..].iter().all(is_slow));
    });
}

#[test]
fn nodes_of_a_wide_zone_hear_the_sum_of_its_reader() {
    run_paused(async {
        let nodes = nodes(100, 0);
        for _ in 0..10 {
            measure_delay(&nodes[..50]);
            for node in &nodes[1..] {
                nodes[0].receive_peer_message(node.peer_message(false));
            }
            let _ = nodes.iter().map(is_slow).collect::<Vec<_>>();
            deliver(&nodes, nodes[0].next_own_zone_updates());
            sleep(Duration::from_millis(200)).await;
        }
        assert!(nodes.iter().all(is_slow));
    });
}

#[test]
fn nothing_is_told_while_all_stores_are_quick() {
    run_paused(async {
        let nodes = nodes(2, 0);
        for _ in 0..10 {
            for fetches in [true, false] {
                measure(&nodes[0], fetches, 50);
            }
            is_slow(&nodes[0]);
            let message = serde_json::to_value(nodes[0].peer_message(true)).unwrap();
            assert_eq!(message.get("K"), None);
            sleep(Duration::from_millis(100)).await;
        }
    });
}

#[test]
fn operators_see_when_a_store_is_slow_and_when_it_is_quick_again() {
    run_paused(async {
        let lines = LogLines::default();
        let nodes = [prepare(gateway_logging_to(&lines))];
        let gauge = |node: &Gateway| {
            let text = String::from_utf8(node.metrics().render()).unwrap();
            let name = format!("ryerouter_gateway_kv_store_delay_ms{{store=\"{STORE}\"}} ");
            let value = text.lines().find_map(|line| line.strip_prefix(&name));
            value.map(|value| value.parse::<u64>().unwrap())
        };
        for _ in 0..10 {
            for _ in 0..5 {
                measure_delay(&nodes);
            }
            is_slow(&nodes[0]);
            sleep(Duration::from_millis(200)).await;
        }
        let slow = lines.of("kv_store_slow");
        assert_eq!(slow.len(), 1);
        assert_eq!(
            value(&slow[0], "store"),
            Some(format!("\"{STORE}\"").as_str())
        );
        assert_eq!(value(&slow[0], "delay_ms"), Some("800"));
        assert_eq!(value(&slow[0], "own_age_ms"), Some("0"));
        assert_eq!(value(&slow[0], "reports"), Some("0"));
        assert!(value(&slow[0], "samples").is_some());
        assert_eq!(gauge(&nodes[0]), Some(DELAY_MS));
        for _ in 0..40 {
            is_slow(&nodes[0]);
            sleep(Duration::from_millis(200)).await;
        }
        assert_eq!(lines.of("kv_store_slow").len(), 1);
        assert_eq!(lines.of("kv_store_quick").len(), 1);
        assert_eq!(gauge(&nodes[0]), Some(0));
    });
}

fn message() -> Value {
    let node = node(0, ZONE);
    serde_json::to_value(node.peer_message(true)).unwrap()
}

fn read(message: Value) -> PeerMessage {
    serde_json::from_value(message).expect("message")
}

#[parameterized(
    unknown_kind = { json!(["127.0.0.1:9", "slow"]) },
    more_values = { json!(["127.0.0.1:8", 1, 2.0, 3, 4, 5]) },
    other_form = { json!({"store": "127.0.0.1:9"}) },
)]
fn delays_in_an_unknown_form_are_passed_over_one_by_one(unknown: Value) {
    run_paused(async {
        let known = SourceDelayUpdate(store(), 700, 0.5, 1.5, 0.9);
        let mut later = message();
        later["K"] = json!([unknown, ["127.0.0.1:9", 700, 0.5, 1.5, 0.9]]);
        assert_eq!(read(later).source_delays, [known]);
    });
}

#[test]
fn messages_of_an_older_build_tell_no_delays() {
    run_paused(async {
        assert_eq!(read(message()).source_delays, []);
        let update: ZoneUpdate = serde_json::from_str(r#"{"z":"zone-a","p":"z"}"#).unwrap();
        assert_eq!(update.source_delays, []);
        assert!(serde_json::to_value(&update).unwrap().get("K").is_none());
    });
}

#[test]
fn message_with_delays_stays_short() {
    run_paused(async {
        let nodes = nodes(2, 0);
        for _ in 0..5 {
            measure_delay(&nodes);
        }
        is_slow(&nodes[0]);
        let message = nodes[0].peer_message(false);
        assert_eq!(message.source_delays.len(), 1);
        let bytes = |message: PeerMessage| {
            serde_json::to_vec(&Datagram::Message(Box::new(message)))
                .unwrap()
                .len()
        };
        let without = PeerMessage {
            source_delays: Vec::new(),
            ..message.clone()
        };
        assert!(bytes(message) - bytes(without) < 48);
    });
}

#[test]
fn first_event_of_a_stream_is_measured() {
    run(async {
        let steps = [Step::Events(&["id: 1\ndata: a\n\n"])];
        let (_engine, address) = ScriptedEngine::start(steps).await;
        let table = model_table(vec![route(RequestKind::Streaming)]);
        let bench = GatewayBench::start(Some(table), vec![engine("e0", address, 1)]).await;
        let is_idle = || bench.gateway.state().kv_stores.delays().is_idle();
        assert!(is_idle());
        let headers = [(ID, "r1"), (PARTS, "s,x,1")];
        let answer = bench.call("POST", &headers, "text").await;
        assert!(answer.body.is_ok(), "{answer:?}");
        assert!(!is_idle());
    });
}
