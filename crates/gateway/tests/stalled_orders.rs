//! Orders that the node that others leave them to does not give, on a virtual clock.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::rollout::PublicationTime;
use ryerouter_gateway::source::{ItemChange, ItemKind};
use support::fleet;
use support::gateway_bench::{configure, gateway, gateway_logging_to, list_engines, run_paused};
use support::log_lines::{LogLines, value};
use support::one_lease::SETTINGS;
use support::ordering_fleet::{OrderingFleet, OrderingNode};
use support::records::{engine, table};
use support::test_dialect::MODEL;
use tokio::time::sleep;
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);
/// A version was named so long ago that its engines are long behind.
const LONG_AGO: Duration = Duration::from_secs(6);

fn end_task(node: &OrderingNode) {
    node.stop_rollouts();
}

/// As a node of a former build does for ever when its task has ended.
fn claim_lease(node: &OrderingNode) {
    node.stop_rollouts();
    let until = node.gateway.clock().now().after(SECOND * 3_600);
    let mut state = node.gateway.state_mut();
    state.gives_orders = true;
    state.order_lease_until = Some(until);
}

/// It knows no version that its engine lacks.
fn leave_as_it_is(_: &OrderingNode) {}

fn remove_engine(node: &OrderingNode) {
    let now = node.gateway.clock().now();
    let gone = ItemChange::Gone("e1".to_owned());
    node.gateway
        .apply_changes(ItemKind::Engines, vec![gone], now);
    node.name_weights(2, LONG_AGO);
}

fn note_load(node: &OrderingNode) {
    let engine = BackEndName::new("e1");
    node.gateway.note_weights(&engine, MODEL, 2);
    // Not told to others.
    node.gateway.state_mut().weights_updates.clear();
    node.name_weights(2, LONG_AGO);
}

/// Node 0 comes first by name, is ready and reaches the store.
#[parameterized(
    task_has_ended = { end_task },
    claims_lease = { claim_lease },
    lacks_version = { leave_as_it_is },
    lacks_engine = { remove_engine },
    believes_loaded = { note_load },
)]
fn node_that_comes_first_and_orders_nothing_does_not_bar_the_others(trouble: fn(&OrderingNode)) {
    run_paused(async move {
        let fleet = OrderingFleet::start(3);
        trouble(&fleet.nodes[0]);
        for node in &fleet.nodes[1..] {
            node.name_weights(2, LONG_AGO);
        }
        fleet.run(SECOND * 8).await;
        assert!(fleet.orders() > 0);
    });
}

#[test]
fn task_that_ends_while_it_holds_the_lease_does_not_bar_the_others() {
    run_paused(async {
        let fleet = OrderingFleet::start(3);
        for node in &fleet.nodes {
            node.name_weights(2, LONG_AGO);
        }
        fleet.run(SECOND * 2).await;
        assert_eq!(fleet.holder(), Some(0));
        let given = fleet.orders();
        fleet.nodes[0].stop_rollouts();
        fleet.run(SECOND * 12).await;
        assert!(fleet.orders() > given);
        let pause = fleet.shortest_handover().expect("handover");
        assert!(pause >= SETTINGS.release_margin, "{pause:?}");
    });
}

#[test]
fn nodes_ask_for_a_lease_that_is_renewed_no_more_often() {
    run_paused(async {
        let fleet = OrderingFleet::start(12);
        for node in &fleet.nodes {
            node.name_weights(2, LONG_AGO);
        }
        // The engine rejects all orders, so there is work all the time.
        fleet.run(SECOND * 60).await;
        let calls: Vec<_> = fleet.nodes.iter().map(OrderingNode::calls).collect();
        assert!(calls[0] > 100, "{calls:?}");
        assert_eq!(calls[1..].iter().sum::<usize>(), 0, "{calls:?}");
    });
}

#[test]
fn node_tells_that_it_gives_orders_only_while_its_lease_is_valid() {
    run_paused(async {
        let fleet = OrderingFleet::start(3);
        fleet.nodes[0].name_weights(2, LONG_AGO);
        fleet.run(SECOND * 2).await;
        let tells = || fleet.nodes[0].gateway.peer_message(false).gives_orders;
        assert!(tells());
        fleet.nodes[0].stop_rollouts();
        fleet.run(SETTINGS.duration + SECOND).await;
        assert!(!tells());
    });
}

/// No node gives orders, however long they are needed.
#[test]
fn few_nodes_ask_for_the_lease_at_a_time() {
    run_paused(async {
        let nodes: Vec<_> = (0..24).map(fleet::node).collect();
        let mut stood_in = vec![0; nodes.len()];
        for _ in 0..120 {
            sleep(SECOND).await;
            fleet::introduce(&nodes);
            let stands = |node: &Rc<Gateway>| {
                node.note_order_need(true);
                node.should_give_orders()
            };
            let standing: Vec<_> = nodes.iter().map(stands).collect();
            // The first, and four that stand in.
            assert!(standing.iter().filter(|stands| **stands).count() <= 5);
            for (count, stands) in stood_in.iter_mut().zip(standing) {
                *count += usize::from(stands);
            }
        }
        assert!(stood_in.iter().all(|count| *count > 0), "{stood_in:?}");
    });
}

#[test]
fn node_that_stands_in_logs_why_once_a_turn() {
    run_paused(async {
        let lines = LogLines::default();
        let node = gateway_logging_to(&lines);
        let first = gateway("node-0");
        for gateway in [&node, &first] {
            configure(gateway, table(1, Vec::new()));
            let entry = engine("e1", "127.0.0.1:1".parse().unwrap(), 1);
            list_engines(gateway, vec![entry]);
        }
        let named = node.clock().now().before(LONG_AGO);
        let named = PublicationTime::Seen(named);
        node.state_mut().deadlines.note(MODEL, 2, named);
        for _ in 0..100 {
            sleep(Duration::from_millis(100)).await;
            node.receive_peer_message(first.peer_message(true));
            node.note_order_need(true);
            node.should_give_orders();
        }
        let lines = lines.of("orders_stalled");
        assert_eq!(lines.len(), 1, "{lines:?}");
        assert_eq!(value(&lines[0], "engines_behind"), Some("1"));
        assert_eq!(value(&lines[0], "waited_for"), Some("node-0"));
    });
}

/// A node that was paused has yet to hear what others did meanwhile.
#[test]
fn node_that_was_paused_does_not_take_its_own_pause_for_a_stall() {
    run_paused(async {
        let nodes: Vec<_> = (0..3).map(fleet::node).collect();
        let stands = || {
            fleet::introduce(&nodes);
            nodes[1].note_order_need(true);
            nodes[1].should_give_orders()
        };
        assert!(!stands());
        sleep(SECOND * 7).await;
        assert!(!stands());
    });
}
