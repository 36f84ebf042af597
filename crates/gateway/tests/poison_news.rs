//! What nodes tell each other of requests under which engines ended.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::BackEndName;
use ryerouter_core::poison::{Digest, Verdict};
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::peers::Datagram;
use ryerouter_gateway::poison::{CrashUpdate, PoisonUpdate};
use serde_json::Value;
use support::fleet::{deliver, introduce, node, node_in, zone_of_many};
use support::gateway_bench::run_paused;
use support::records::ZONE;
use tokio::time::{sleep, timeout};
use yare::parameterized;

const DIGEST: Digest = Digest(7);
/// Three heartbeats of an engine, and what a list takes to tell of their absence.
const UNTIL_GONE: Duration = Duration::from_secs(8);

/// Three ends in a row, the last of them just now.
fn three_ends(of: [&str; 3]) -> PoisonUpdate {
    let end = |(index, engine): (usize, &str)| CrashUpdate {
        engine: BackEndName::new(engine),
        incarnation: None,
        age_ms: 2_000 - index as u64 * 1_000,
        took_ms: 100,
        is_unproven: false,
    };
    PoisonUpdate {
        digest: DIGEST,
        crashes: of.into_iter().enumerate().map(end).collect(),
        uncounted: Vec::new(),
        cleared_age_ms: None,
        trials: 0,
        tried_age_ms: None,
        is_recorded: false,
    }
}

fn tell(to: &Gateway, from: &Gateway, news: Vec<PoisonUpdate>) {
    let mut message = from.peer_message(false);
    message.poison = news;
    to.receive_peer_message(message);
}

fn is_held_back(node: &Gateway) -> bool {
    node.poison_verdict_of(&[DIGEST]) != Verdict::Allowed
}

/// The engine that both nodes list is still there; the ends of the others are not in doubt.
#[test]
fn end_of_an_engine_that_is_still_listed_long_after_is_withdrawn() {
    run_paused(async {
        let nodes: Vec<_> = (0..2).map(node).collect();
        tell(
            &nodes[0],
            &nodes[1],
            vec![three_ends(["e1", "gone", "gone too"])],
        );
        assert!(is_held_back(&nodes[0]));
        let until = nodes[0].clock().now().after(UNTIL_GONE);
        while nodes[0].clock().now() < until {
            sleep(Duration::from_millis(300)).await;
            let now = nodes[0].clock().now();
            nodes[0].state_mut().steadiness.note(now);
        }
        assert!(!is_held_back(&nodes[0]));
    });
}

/// While the source stands still, its list tells nothing of who lives.
#[test]
fn list_of_a_source_that_does_not_answer_speaks_for_nobody() {
    run_paused(async {
        let nodes: Vec<_> = (0..2).map(node).collect();
        tell(
            &nodes[0],
            &nodes[1],
            vec![three_ends(["e1", "gone", "gone too"])],
        );
        sleep(UNTIL_GONE).await;
        assert!(is_held_back(&nodes[0]));
    });
}

/// Introductions bring a node up to date that was away when the news were told.
#[test]
fn introduction_tells_of_what_is_held_back() {
    run_paused(async {
        let nodes: Vec<_> = (0..3).map(node).collect();
        introduce(&nodes);
        tell(&nodes[0], &nodes[1], vec![three_ends(["a", "b", "c"])]);
        sleep(Duration::from_secs(1)).await;
        nodes[2].receive_peer_message(nodes[0].peer_message(false));
        assert!(!is_held_back(&nodes[2]));
        nodes[2].receive_peer_message(nodes[0].peer_message(true));
        assert!(is_held_back(&nodes[2]));
    });
}

/// A datagram carries 60 KB; many requests take turns.
#[test]
fn many_requests_that_are_held_back_take_turns() {
    run_paused(async {
        let nodes: Vec<_> = (0..2).map(node).collect();
        for number in 0..100 {
            let news = PoisonUpdate {
                digest: Digest(number),
                ..three_ends(["a", "b", "c"])
            };
            tell(&nodes[0], &nodes[1], vec![news]);
        }
        for _ in 0..20 {
            let message = nodes[0].peer_message(true);
            nodes[1].receive_peer_message(message.clone());
            let datagram = Datagram::Message(Box::new(message));
            let bytes = serde_json::to_vec(&datagram).expect("datagram").len();
            assert!(bytes < 6_000, "{bytes}");
        }
        let heard = nodes[1].state().poison.blocked().count();
        assert_eq!(heard, 100);
    });
}

/// What one node has seen reaches all of the others, with as many messages for each of them however many there are.
#[parameterized(
    a_dozen = { 12 },
    a_hundred = { 96 },
)]
fn news_reach_all_nodes_of_a_large_deployment(count: usize) {
    run_paused(async move {
        let zone_of = |index: usize| if index < count / 2 { ZONE } else { "zone-b" };
        let nodes: Vec<_> = (0..count)
            .map(|index| node_in(index, zone_of(index)))
            .collect();
        introduce(&nodes);
        tell(&nodes[3], &nodes[4], vec![three_ends(["a", "b", "c"])]);
        nodes[3].state_mut().poison_updates.insert(DIGEST, 1);
        let envelopes = nodes[3].next_urgent_updates();
        let first: usize = envelopes.iter().map(|parcel| parcel.1.len()).sum();
        let passed_on: usize = deliver(&nodes, envelopes).iter().sum();
        let held_back = nodes.iter().filter(|node| is_held_back(node)).count();
        assert_eq!(held_back, nodes.len());
        assert!(first + passed_on <= 3 * nodes.len(), "{first} {passed_on}");
        assert!(nodes[3].next_urgent_updates().is_empty());
    });
}

#[test]
fn entries_of_another_build_are_passed_over_one_by_one() {
    run_paused(async {
        let nodes: Vec<_> = (0..2).map(node).collect();
        let mut message = nodes[1].peer_message(false);
        message.poison = vec![three_ends(["a", "b", "c"])];
        let mut value = serde_json::to_value(Datagram::Message(Box::new(message))).expect("value");
        let entries = value["m"]["z"].as_array_mut().expect("entries");
        entries.insert(0, Value::from("another kind"));
        entries[1]["new"] = Value::from(1);
        let Ok(Datagram::Message(message)) = serde_json::from_value(value) else {
            panic!("no message");
        };
        nodes[0].receive_peer_message(*message);
        assert!(is_held_back(&nodes[0]));
    });
}

/// A trial is told at once, so that the others hold the request back meanwhile.
#[test]
fn trial_of_one_node_holds_it_back_at_the_others() {
    run_paused(async {
        let nodes: Vec<Rc<Gateway>> = (0..2).map(node).collect();
        tell(&nodes[0], &nodes[1], vec![three_ends(["a", "b", "c"])]);
        sleep(Duration::from_secs(601)).await;
        assert_eq!(nodes[0].poison_verdict_of(&[DIGEST]), Verdict::Trial);
        let news = PoisonUpdate {
            trials: 1,
            tried_age_ms: Some(5),
            ..three_ends(["a", "b", "c"])
        };
        tell(&nodes[0], &nodes[1], vec![news]);
        let verdict = nodes[0].poison_verdict_of(&[DIGEST]);
        assert!(matches!(verdict, Verdict::Refused { .. }), "{verdict:?}");
    });
}

/// An engine whose connection was cut goes on; the news of its end are told again and again.
#[test]
fn engine_that_has_taken_something_since_is_not_taken_for_ended_again() {
    run_paused(async {
        let nodes: Vec<_> = (0..2).map(node).collect();
        let crashed_at = || {
            let state = nodes[0].state();
            let engine = state.engines.get(&BackEndName::new("e1"));
            engine.expect("engine").crashed_at()
        };
        tell(&nodes[0], &nodes[1], vec![three_ends(["a", "b", "e1"])]);
        assert!(crashed_at().is_some());
        let mut state = nodes[0].state_mut();
        let engine = state.engines.get_mut(&BackEndName::new("e1"));
        engine.expect("engine").note_accepted();
        drop(state);
        tell(&nodes[0], &nodes[1], vec![three_ends(["a", "b", "e1"])]);
        assert!(crashed_at().is_none());
    });
}

/// Messages between two introductions are of any number, so it is not theirs that says whose turn it is.
#[test]
fn all_that_are_held_back_are_told_however_many_messages_lie_between() {
    run_paused(async {
        for between in 1..6 {
            let nodes: Vec<_> = (0..2).map(node).collect();
            for number in 0..40 {
                let news = PoisonUpdate {
                    digest: Digest(number),
                    ..three_ends(["a", "b", "c"])
                };
                tell(&nodes[0], &nodes[1], vec![news]);
            }
            let newcomer = node(5);
            for _ in 0..4 {
                newcomer.receive_peer_message(nodes[0].peer_message(true));
                (0..between).for_each(|_| drop(nodes[0].peer_message(false)));
            }
            let heard = newcomer.state().poison.blocked().count();
            assert_eq!(heard, 40, "{between}");
        }
    });
}

/// More than one message holds are told at once all the same.
#[test]
fn many_ends_at_one_moment_are_all_told_at_once() {
    run_paused(async {
        let nodes = zone_of_many();
        for number in 0..70 {
            let news = PoisonUpdate {
                digest: Digest(number),
                ..three_ends(["a", "b", "c"])
            };
            tell(&nodes[3], &nodes[4], vec![news]);
            nodes[3]
                .state_mut()
                .poison_updates
                .insert(Digest(number), 1);
        }
        nodes[3].request_peer_send();
        let is_urgent = || async {
            let urgent = nodes[3].peer_send_requested();
            timeout(Duration::from_millis(1), urgent).await.is_ok()
        };
        while is_urgent().await {
            deliver(&nodes, nodes[3].next_urgent_updates());
        }
        let heard = nodes[9].state().poison.blocked().count();
        assert_eq!(heard, 70);
    });
}
