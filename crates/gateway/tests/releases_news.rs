//! What nodes tell each other of releases.

mod support;

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use ryerouter_core::identity::BackEndName;
use ryerouter_core::release::{Counts, Stage, key_of};
use ryerouter_gateway::gateway::{Envelope, Gateway};
use ryerouter_gateway::release::{AnswerEnd, AnswerTiming};
use support::fleet::{deliver, introduce};
use support::gateway_bench::{list_engines, run_paused};
use support::records::ZONE;
use support::releases::{
    PRESENT, TARGET, both_versions, count_of, grant, lone_node, new_node, node_with_orders, order,
    pool, versions_of,
};
use tokio::time::advance;
use yare::parameterized;

const REQUESTS: usize = 200;
const OTHER_ZONE: &str = "zone-b";
/// Answers that each node sees at each version.
const ANSWERS: u32 = 3;

fn zone_of(index: usize) -> &'static str {
    if index < 6 { ZONE } else { OTHER_ZONE }
}

/// A large deployment: six nodes in each of two zones.
async fn two_zones() -> Vec<Rc<Gateway>> {
    let nodes: Vec<_> = (0..12)
        .map(|index| new_node(index, zone_of(index)))
        .collect();
    for node in &nodes {
        node.state_mut().releases.knows_orders = true;
        list_engines(node, both_versions());
    }
    advance(Duration::from_secs(3)).await;
    introduce(&nodes);
    nodes
}

fn answer(node: &Gateway, engine: &str, software: &str) -> AnswerTiming {
    AnswerTiming {
        pool: pool(),
        route: key_of("route"),
        engine: BackEndName::new(engine),
        software: software.to_owned(),
        is_cold: false,
        is_stream: false,
        unread_tokens: 0,
        sent_at: node.clock().now(),
        first_event_at: None,
        events: 0,
        waited: Duration::ZERO,
        waiting_since: None,
    }
}

fn see_answers(node: &Gateway, engine: &str, software: &str, end: AnswerEnd, count: u32) {
    for _ in 0..count {
        node.note_release_answer(&answer(node, engine, software), end);
    }
}

fn counts(node: &Gateway) -> Counts {
    node.release_counts(&order(TARGET, 50))
}

fn stage_at(node: &Gateway) -> Option<Stage> {
    node.known_grant(&pool()).map(|(grant, _)| grant.stage)
}

fn index_of(nodes: &[Rc<Gateway>], address: std::net::SocketAddr) -> usize {
    let is_it = |node: &Rc<Gateway>| node.settings().identity.peer_address == address;
    nodes.iter().position(is_it).expect("node")
}

/// Every node sends its next message to those that it would send it to, but dead ones get nothing.
fn heartbeat(nodes: &[Rc<Gateway>], dead: &[usize], random: &mut StdRng) {
    for (index, from) in nodes.iter().enumerate() {
        if dead.contains(&index) {
            continue;
        }
        let message = from.peer_message(false);
        for receiver in from.peer_receivers(false, random) {
            let to = index_of(nodes, receiver);
            if !dead.contains(&to) {
                nodes[to].receive_peer_message(message.clone());
            }
        }
    }
}

/// One node of each zone tells the others what its zone has seen.
fn tell_zones(nodes: &[Rc<Gateway>]) {
    for teller in [&nodes[0], &nodes[6]] {
        let parcel = teller.next_zone_update(true).expect("news");
        deliver(nodes, vec![parcel]);
    }
}

fn without(nodes: &[Rc<Gateway>], dead: &[usize], envelopes: Vec<Envelope>) -> Vec<Envelope> {
    let lives = |address: &std::net::SocketAddr| !dead.contains(&index_of(nodes, *address));
    let living = envelopes.into_iter().map(|(news, to)| {
        let to = to.into_iter().filter(lives).collect();
        (news, to)
    });
    living.collect()
}

/// The director's message goes to two nodes of each other zone.
#[parameterized(
    both_relays_live = { &[] },
    first_relay_is_dead = { &[6] },
    head_of_own_group_is_dead = { &[1] },
    other_relay_and_its_neighbour_are_dead = { &[7, 8] },
)]
fn verdict_reaches_every_node_at_once(dead: &'static [usize]) {
    run_paused(async move {
        let nodes = two_zones().await;
        nodes[0].publish_grant(grant(Stage::RolledBack, 0.0, 1));
        let envelopes = without(&nodes, dead, nodes[0].next_urgent_updates());
        assert!(!envelopes.is_empty());
        deliver(&nodes, envelopes);
        let living = (0..nodes.len()).filter(|index| !dead.contains(index));
        let ignorant: Vec<_> = living
            .filter(|index| stage_at(&nodes[*index]) != Some(Stage::RolledBack))
            .collect();
        assert!(ignorant.is_empty(), "{ignorant:?}");
        assert!(nodes[0].next_urgent_updates().is_empty());
    });
}

#[test]
fn verdict_reaches_another_zone_whose_relays_are_dead_with_messages_drawn_at_random() {
    run_paused(async {
        let nodes = two_zones().await;
        let dead = [6, 7];
        nodes[0].publish_grant(grant(Stage::RolledBack, 0.0, 1));
        let envelopes = without(&nodes, &dead, nodes[0].next_urgent_updates());
        deliver(&nodes, envelopes);
        let mut random = StdRng::seed_from_u64(1);
        // Heartbeats are 0.3 s apart.
        for _ in 0..3 {
            heartbeat(&nodes, &dead, &mut random);
        }
        let living = (0..nodes.len()).filter(|index| !dead.contains(index));
        for index in living {
            assert_eq!(stage_at(&nodes[index]), Some(Stage::RolledBack), "{index}");
        }
    });
}

#[test]
fn only_another_stage_is_urgent() {
    run_paused(async {
        let nodes = two_zones().await;
        // What the introductions made urgent has gone out.
        nodes[0].peer_send_requested().await;
        nodes[0].publish_grant(grant(Stage::Trial, 0.05, 1));
        assert!(nodes[0].peer_send_requested().now_or_never().is_some());
        assert!(!nodes[0].next_urgent_updates().is_empty());
        nodes[0].publish_grant(grant(Stage::Trial, 0.0, 2));
        assert!(nodes[0].peer_send_requested().now_or_never().is_none());
        assert!(nodes[0].next_urgent_updates().is_empty());
    });
}

#[test]
fn answers_of_all_nodes_and_zones_add_up_once_each() {
    run_paused(async {
        let nodes = two_zones().await;
        nodes[0].publish_grant(grant(Stage::Trial, 0.05, 1));
        deliver(&nodes, nodes[0].next_urgent_updates());
        for node in &nodes {
            see_answers(
                node,
                "old-1",
                PRESENT,
                AnswerEnd::Whole { is_success: true },
                ANSWERS,
            );
            see_answers(node, "new-1", TARGET, AnswerEnd::Failed, ANSWERS);
        }
        let mut random = StdRng::seed_from_u64(1);
        for _ in 0..4 {
            heartbeat(&nodes, &[], &mut random);
            tell_zones(&nodes);
        }
        for node in &nodes {
            let counts = counts(node);
            let expected = ANSWERS * nodes.len() as u32;
            assert_eq!(counts.target().answers, expected);
            assert_eq!(counts.target().failed, expected);
            assert_eq!(counts.present().answers, expected);
            assert_eq!(counts.present().bad(), 0);
        }
    });
}

/// A datagram that grows too long is not sent, and with it nothing of what it tells.
#[test]
fn many_counts_are_told_in_several_messages() {
    run_paused(async {
        let (first, second) = (lone_node().await, node_with_orders(1, ZONE).await);
        first.publish_grant(grant(Stage::Trial, 0.05, 1));
        let engines = 1_000;
        for engine in 0..engines {
            let name = format!("new-{engine}");
            see_answers(&first, &name, TARGET, AnswerEnd::Failed, 1);
        }
        for _ in 0..4 {
            let message = first.peer_message(false);
            let bytes = serde_json::to_vec(&message).expect("message");
            assert!(bytes.len() < 20_000, "{} bytes", bytes.len());
            second.receive_peer_message(message);
        }
        assert_eq!(counts(&second).target().answers, engines);
    });
}

/// While they were few, each told all others by itself.
#[test]
fn answers_are_not_counted_twice_when_a_deployment_grows_large() {
    run_paused(async {
        let nodes = two_zones().await;
        let few = [0, 1, 6, 7];
        let small: Vec<_> = few
            .iter()
            .map(|index| new_node(*index, zone_of(*index)))
            .collect();
        small
            .iter()
            .for_each(|node| list_engines(node, both_versions()));
        introduce(&small);
        small[0].publish_grant(grant(Stage::Trial, 0.05, 1));
        for node in &small[1..] {
            node.receive_peer_message(small[0].peer_message(false));
            see_answers(node, "new-1", TARGET, AnswerEnd::Failed, ANSWERS);
        }
        for node in &small[1..] {
            small[0].receive_peer_message(node.peer_message(false));
        }
        assert_eq!(counts(&small[0]).target().answers, 3 * ANSWERS);
        for node in &nodes[2..] {
            small[0].receive_peer_message(node.peer_message(true));
        }
        assert!(small[0].state().peers.is_large());
        // Those of the other zone are told by the zone now.
        assert_eq!(counts(&small[0]).target().answers, ANSWERS);
        let news = small[0].next_zone_update(true).expect("news").0;
        assert_eq!(news.evidence[0].1.target().answers, ANSWERS);
    });
}

#[test]
fn what_a_node_saw_before_it_was_started_again_stays_counted() {
    run_paused(async {
        let director = lone_node().await;
        director.publish_grant(grant(Stage::Trial, 0.05, 1));
        for incarnation in [21, 22] {
            let node = node_with_orders(1, ZONE).await;
            node.receive_peer_message(director.peer_message(true));
            see_answers(&node, "new-1", TARGET, AnswerEnd::Failed, ANSWERS);
            let mut message = node.peer_message(false);
            message.from.incarnation = incarnation;
            director.receive_peer_message(message.clone());
            // The same again changes nothing.
            message.sequence += 1;
            director.receive_peer_message(message);
        }
        assert_eq!(counts(&director).target().answers, 2 * ANSWERS);
    });
}

#[test]
fn age_of_a_grant_counts_on_over_the_nodes_that_pass_it_on() {
    run_paused(async {
        let first = lone_node().await;
        let second = node_with_orders(1, ZONE).await;
        let third = node_with_orders(2, ZONE).await;
        first.publish_grant(grant(Stage::Shifting, 1.0, 1));
        advance(Duration::from_secs(1)).await;
        second.receive_peer_message(first.peer_message(false));
        assert!(count_of(&versions_of(&second, REQUESTS), TARGET) > 0);
        advance(Duration::from_millis(1_100)).await;
        third.receive_peer_message(second.peer_message(false));
        let (_, age) = third.known_grant(&pool()).expect("grant");
        assert_eq!(age.as_millis(), 2_100);
        // It holds for 2 s.
        assert_eq!(count_of(&versions_of(&third, REQUESTS), TARGET), 0);
    });
}

/// A grant that came late must not seem young.
#[test]
fn grant_that_comes_again_by_a_slower_way_grows_no_younger() {
    run_paused(async {
        let (first, second) = (lone_node().await, node_with_orders(1, ZONE).await);
        first.publish_grant(grant(Stage::Shifting, 1.0, 1));
        let message = first.peer_message(false);
        second.receive_peer_message(message.clone());
        advance(Duration::from_secs(3)).await;
        let mut late = message;
        late.sequence += 10;
        second.receive_peer_message(late);
        assert_eq!(count_of(&versions_of(&second, REQUESTS), TARGET), 0);
    });
}

#[test]
fn end_of_a_release_is_told_for_some_time_and_then_with_introductions() {
    run_paused(async {
        let node = lone_node().await;
        node.publish_grant(grant(Stage::RolledBack, 0.0, 1));
        advance(Duration::from_secs(9)).await;
        assert_eq!(node.peer_message(false).releases.len(), 1);
        advance(Duration::from_secs(2)).await;
        assert!(node.peer_message(false).releases.is_empty());
        assert_eq!(node.peer_message(true).releases.len(), 1);
        // However long ago: the version must not come back into use.
        advance(Duration::from_secs(600)).await;
        node.refresh_releases();
        assert_eq!(node.peer_message(true).releases.len(), 1);
    });
}

#[test]
fn completed_release_is_forgotten_once_its_engines_were_replaced() {
    run_paused(async {
        let node = lone_node().await;
        node.publish_grant(grant(Stage::Completed, 1.0, 1));
        advance(Duration::from_secs(61)).await;
        node.refresh_releases();
        assert!(stage_at(&node).is_some());
        list_engines(&node, both_versions().into_iter().take(3).collect());
        assert!(node.peer_message(true).releases.is_empty());
        node.refresh_releases();
        assert!(stage_at(&node).is_none());
    });
}

/// The director may be lost, and its grants hold for some time.
#[test]
fn node_that_sees_a_version_fail_stops_sending_to_it_before_the_verdict() {
    run_paused(async {
        let node = lone_node().await;
        let good = AnswerEnd::Whole { is_success: true };
        node.publish_grant(grant(Stage::Shifting, 0.6, 1));
        for round in 0..30 {
            see_answers(&node, "old-1", PRESENT, good, 20);
            for engine in ["new-1", "new-2", "new-3"] {
                see_answers(&node, engine, TARGET, AnswerEnd::Failed, 1);
                see_answers(&node, engine, TARGET, good, 1);
            }
            advance(Duration::from_millis(100)).await;
            node.publish_grant(grant(Stage::Shifting, 0.6, 2 + round));
            node.refresh_releases();
        }
        assert_eq!(count_of(&versions_of(&node, REQUESTS), TARGET), 0);
        node.publish_grant(grant(Stage::Completed, 1.0, 100));
        assert_eq!(count_of(&versions_of(&node, REQUESTS), TARGET), REQUESTS);
    });
}

/// Else it would send to engines that stop the moment that the release is completed.
#[test]
fn node_that_stopped_without_cause_follows_when_the_last_requests_move() {
    run_paused(async {
        let node = lone_node().await;
        let good = AnswerEnd::Whole { is_success: true };
        let targets = ["new-1", "new-2", "new-3"];
        node.publish_grant(grant(Stage::Trial, 0.08, 1));
        for _ in 0..10 {
            see_answers(&node, "old-1", PRESENT, good, 20);
            for engine in targets {
                see_answers(&node, engine, TARGET, AnswerEnd::Failed, 2);
            }
            advance(Duration::from_millis(300)).await;
            node.refresh_releases();
        }
        let settle = |number| node.publish_grant(grant(Stage::Settling, 1.0, number));
        settle(2);
        node.refresh_releases();
        assert_eq!(count_of(&versions_of(&node, REQUESTS), TARGET), 0);
        for engine in targets {
            see_answers(&node, engine, TARGET, good, 1_000);
        }
        settle(3);
        node.refresh_releases();
        assert_eq!(count_of(&versions_of(&node, REQUESTS), TARGET), REQUESTS);
    });
}

/// Were all nodes to stop for good, no answers would come by which the director could decide.
#[test]
fn node_that_stopped_goes_on_when_the_director_has_seen_the_answers_and_goes_on() {
    run_paused(async {
        let node = lone_node().await;
        let good = AnswerEnd::Whole { is_success: true };
        node.publish_grant(grant(Stage::Trial, 0.5, 1));
        for _ in 0..5 {
            see_answers(&node, "old-1", PRESENT, good, 20);
            for engine in ["new-1", "new-2", "new-3"] {
                see_answers(&node, engine, TARGET, AnswerEnd::Failed, 2);
            }
            advance(Duration::from_millis(300)).await;
            node.refresh_releases();
        }
        node.publish_grant(grant(Stage::Trial, 0.5, 2));
        versions_of(&node, 1_000);
        node.refresh_releases();
        let before = count_of(&versions_of(&node, REQUESTS), TARGET);
        advance(Duration::from_secs(2)).await;
        node.publish_grant(grant(Stage::Trial, 0.5, 3));
        node.refresh_releases();
        let after = count_of(&versions_of(&node, REQUESTS), TARGET);
        assert_eq!(before, 0);
        assert!(after > 0);
    });
}

#[test]
fn node_that_sees_a_version_do_well_goes_on_sending_to_it() {
    run_paused(async {
        let node = lone_node().await;
        let good = AnswerEnd::Whole { is_success: true };
        for round in 0..30 {
            see_answers(&node, "old-1", PRESENT, good, 20);
            see_answers(&node, "new-1", TARGET, good, 3);
            advance(Duration::from_millis(100)).await;
            node.publish_grant(grant(Stage::Shifting, 0.6, 1 + round));
            node.refresh_releases();
        }
        assert!(count_of(&versions_of(&node, REQUESTS), TARGET) > 0);
    });
}

/// Requests take 5 s at most, and a grant holds for 2 s.
#[test]
fn silent_node_holds_a_release_up_only_while_it_may_have_requests() {
    run_paused(async {
        let node = lone_node().await;
        for other in [new_node(1, ZONE), new_node(2, ZONE)] {
            node.receive_peer_message(other.peer_message(true));
        }
        let is_held_up = || node.release_fleet(&order(TARGET, 50)).has_silent_nodes;
        assert!(!is_held_up());
        advance(Duration::from_secs(6)).await;
        assert!(is_held_up());
        advance(Duration::from_secs(2)).await;
        assert!(!is_held_up());
    });
}
