//! What nodes tell each other of engines that say something of themselves, and for how long they know it.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::backpressure::Signal;
use ryerouter_core::identity::{BackEndName, Incarnation};
use ryerouter_gateway::engines::EngineEntry;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::request::AnswerFacts;
use support::fleet::{deliver, introduce, node, two_zones, zone_of_many};
use support::gateway_bench::{list_engines, run_paused};
use support::records::{ZONE, engine};
use tokio::time::sleep;
use yare::parameterized;

const ENGINE: &str = "e1";

fn facts(rate_limit: f64) -> AnswerFacts {
    AnswerFacts {
        signal: Signal {
            rate_limit: Some(rate_limit),
            ..Signal::default()
        },
        ..AnswerFacts::default()
    }
}

/// An answer of the engine to this node says something of it.
fn hear(node: &Gateway, name: &str, facts: &AnswerFacts) {
    let sent_at = node.clock().now();
    node.note_signal("r", &BackEndName::new(name), facts, sent_at);
}

fn limit_at(node: &Gateway) -> Option<f64> {
    let state = node.state();
    let engine = state.engines.get(&BackEndName::new(ENGINE))?;
    Some(engine.condition.limit()?.per_second())
}

fn entry(incarnation: Option<u64>) -> EngineEntry {
    EngineEntry {
        incarnation: incarnation.map(Incarnation),
        ..engine(ENGINE, "127.0.0.1:1".parse().expect("address"), 1)
    }
}

/// Each node tells what it has to tell at once.
fn tell(nodes: &[Rc<Gateway>]) {
    for from in nodes {
        deliver(nodes, from.next_urgent_updates());
        let message = from.peer_message(false);
        for to in nodes.iter().filter(|_| nodes.len() < 10) {
            to.receive_peer_message(message.clone());
        }
    }
}

#[parameterized(
    few = { || (0..4).map(node).collect() },
    many = { || zone_of_many() },
    zones = { || two_zones() },
)]
fn all_nodes_know_a_limit_that_one_was_told(nodes: fn() -> Vec<Rc<Gateway>>) {
    run_paused(async {
        let nodes = nodes();
        introduce(&nodes);
        hear(&nodes[1], ENGINE, &facts(2.5));
        tell(&nodes);
        for node in &nodes {
            assert_eq!(limit_at(node), Some(2.5));
        }
    });
}

/// It is not told any more when the engine names it no longer.
#[test]
fn all_nodes_know_that_a_limit_is_over() {
    run_paused(async {
        let nodes: Vec<_> = (0..4).map(node).collect();
        introduce(&nodes);
        hear(&nodes[1], ENGINE, &facts(2.5));
        tell(&nodes);
        for _ in 0..10 {
            sleep(Duration::from_secs(1)).await;
            hear(&nodes[1], ENGINE, &AnswerFacts::default());
            tell(&nodes);
        }
        for node in &nodes {
            assert_eq!(limit_at(node), None);
        }
    });
}

/// A node that has just started learns it with the first introduction.
#[test]
fn node_that_has_just_started_learns_the_limits() {
    run_paused(async {
        let nodes: Vec<_> = (0..3).map(node).collect();
        introduce(&nodes);
        hear(&nodes[1], ENGINE, &facts(2.5));
        for _ in 0..5 {
            tell(&nodes);
        }
        let newcomer = node(3);
        newcomer.receive_peer_message(nodes[1].peer_message(true));
        assert_eq!(limit_at(&newcomer), Some(2.5));
    });
}

/// An engine that has begun again has said nothing yet.
#[test]
fn limit_ends_with_the_life_of_its_engine() {
    run_paused(async {
        let nodes: Vec<_> = (0..2).map(node).collect();
        introduce(&nodes);
        for node in &nodes {
            list_engines(node, vec![entry(Some(1))]);
        }
        hear(&nodes[0], ENGINE, &facts(2.5));
        list_engines(&nodes[1], vec![entry(Some(2))]);
        tell(&nodes);
        assert_eq!(limit_at(&nodes[1]), None);
        list_engines(&nodes[0], vec![entry(Some(2))]);
        assert_eq!(limit_at(&nodes[0]), None);
    });
}

/// An entry may lapse while its engine goes on.
#[test]
fn limit_is_known_when_an_entry_comes_back() {
    run_paused(async {
        let node = node(0);
        list_engines(&node, vec![entry(None)]);
        hear(&node, ENGINE, &facts(0.0));
        list_engines(&node, Vec::new());
        assert_eq!(limit_at(&node), None);
        list_engines(&node, vec![entry(None)]);
        assert_eq!(limit_at(&node), Some(0.0));
    });
}

/// What is told is bounded, however many engines are limited, and all is told in the end.
#[test]
fn news_of_many_engines_are_told_by_turns() {
    run_paused(async {
        const ENGINES: usize = 300;
        let nodes: Vec<_> = (0..2).map(node).collect();
        introduce(&nodes);
        let name = |index| format!("e{index}");
        let entry = |index| engine(&name(index), "127.0.0.1:1".parse().expect("address"), 1);
        for node in &nodes {
            list_engines(node, (0..ENGINES).map(entry).collect());
        }
        for index in 0..ENGINES {
            hear(&nodes[0], &name(index), &facts(2.5));
        }
        let mut messages = 0;
        while nodes[1].state().limited_engines.len() < ENGINES {
            let message = nodes[0].peer_message(messages % 12 == 0);
            assert!(message.signals.len() <= 48, "{}", message.signals.len());
            nodes[1].receive_peer_message(message);
            messages += 1;
            assert!(messages < 60, "{messages}");
        }
    });
}

/// Its callers are those that the engine mostly serves; shares elsewhere would be left unused.
#[test]
fn nodes_of_the_engines_zone_share_its_limit() {
    run_paused(async {
        const LIMIT: f64 = 2.5;
        let nodes = two_zones();
        hear(&nodes[0], ENGINE, &facts(LIMIT));
        tell(&nodes);
        let share = |node: &Rc<Gateway>| {
            let state = node.state();
            let engine = state.engines.get(&BackEndName::new(ENGINE));
            let limit = engine.and_then(|engine| engine.condition.limit());
            limit.map_or(0.0, |limit| limit.share())
        };
        let (near, far): (Vec<_>, Vec<_>) = nodes
            .iter()
            .partition(|node| node.settings().identity.zone.as_str() == ZONE);
        assert_eq!(far.into_iter().map(share).sum::<f64>(), 0.0);
        let sum: f64 = near.into_iter().map(share).sum();
        assert!((sum - LIMIT).abs() < 1e-6, "{sum}");
    });
}
