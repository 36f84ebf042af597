//! What nodes tell each other of releases where zones lie in several regions.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use ryerouter_core::release::{CountKey, Judgement, Stage};
use ryerouter_gateway::gateway::{Envelope, Gateway};
use support::fleet::{ZONES, addresses, deliver, introduce, three_regions};
use support::gateway_bench::{list_engines, run_paused};
use support::releases::{both_versions, grant, new_node_at, order, pool};
use tokio::time::advance;
use yare::parameterized;

/// Nodes of each zone.
const OF_ZONE: usize = 4;
/// Answers that each node sees at each version.
const ANSWERS: u32 = 3;

async fn three_regions_of_nodes() -> Vec<Rc<Gateway>> {
    let node = |index: usize| new_node_at(index, ZONES[index / OF_ZONE], three_regions());
    let nodes: Vec<_> = (0..ZONES.len() * OF_ZONE).map(node).collect();
    for node in &nodes {
        node.state_mut().releases.knows_orders = true;
        list_engines(node, both_versions());
    }
    advance(Duration::from_secs(3)).await;
    introduce(&nodes);
    nodes
}

fn stage_at(node: &Gateway) -> Option<Stage> {
    node.known_grant(&pool()).map(|(grant, _)| grant.stage)
}

/// Delivers news, but none to a node that is dead.
fn deliver_to_living(nodes: &[Rc<Gateway>], dead: Option<usize>, envelopes: Vec<Envelope>) {
    let dead = dead.map(|index| nodes[index].settings().identity.peer_address);
    let mut waiting = envelopes;
    while let Some((news, receivers)) = waiting.pop() {
        for receiver in receivers.into_iter().filter(|to| Some(*to) != dead) {
            let to = addresses(nodes).iter().position(|each| *each == receiver);
            waiting.extend(nodes[to.expect("receiver")].receive_zone_update(&news));
        }
    }
}

/// The first zone of the second region begins with node 8, its second one with node 12.
#[parameterized(
    all_live = { None },
    first_relay_of_a_region_is_dead = { Some(8) },
    second_relay_of_a_region_is_dead = { Some(9) },
    first_relay_within_a_region_is_dead = { Some(12) },
    first_relay_of_the_own_region_is_dead = { Some(4) },
)]
fn verdict_reaches_every_node_of_all_regions_at_once(dead: Option<usize>) {
    run_paused(async move {
        let nodes = three_regions_of_nodes().await;
        nodes[0].publish_grant(grant(Stage::RolledBack, 0.0, 1));
        deliver_to_living(&nodes, dead, nodes[0].next_urgent_updates());
        let living = (0..nodes.len()).filter(|index| Some(*index) != dead);
        let ignorant: Vec<_> = living
            .filter(|index| stage_at(&nodes[*index]) != Some(Stage::RolledBack))
            .collect();
        assert!(ignorant.is_empty(), "{ignorant:?}");
    });
}

#[test]
fn answers_of_all_regions_add_up_once_each() {
    run_paused(async {
        let nodes = three_regions_of_nodes().await;
        nodes[0].publish_grant(grant(Stage::Trial, 0.05, 1));
        deliver(&nodes, nodes[0].next_urgent_updates());
        for node in &nodes {
            let mut state = node.state_mut();
            let evidence = &mut state.releases.of_mut(&pool()).expect("release").evidence;
            let target = CountKey {
                route: 1,
                engine: 1,
            };
            for _ in 0..ANSWERS {
                evidence.note(target, Judgement::Failed);
                evidence.note(CountKey::present(1), Judgement::Good);
            }
        }
        let mut random = StdRng::seed_from_u64(1);
        for _ in 0..6 {
            for from in &nodes {
                let message = from.peer_message(false);
                for receiver in from.peer_receivers(false, &mut random) {
                    let to = addresses(&nodes).iter().position(|each| *each == receiver);
                    nodes[to.expect("receiver")].receive_peer_message(message.clone());
                }
            }
            for teller in nodes.iter().step_by(OF_ZONE) {
                deliver(&nodes, teller.next_zone_update(true).into_iter().collect());
            }
        }
        let expected = ANSWERS * nodes.len() as u32;
        for node in &nodes {
            let counts = node.release_counts(&order("v2", 50));
            assert_eq!(counts.target().failed, expected);
            assert_eq!(counts.present().answers, expected);
        }
    });
}
