//! Nodes that were cut from each other for so long that they forgot each other, on a virtual clock.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use ryerouter_gateway::gateway::Gateway;
use support::fleet::{introduce, node};
use support::gateway_bench::run_paused;
use tokio::time::sleep;
use yare::parameterized;

const INTRODUCTION_INTERVAL: Duration = Duration::from_millis(1_200);
/// Nodes that were silent for so long are forgotten, also if the last introduction was a while ago.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(36);
/// By then nodes that can reach each other again have found each other.
const FOUND_AFTER: Duration = Duration::from_secs(60);

fn forget_silent(nodes: &[Rc<Gateway>]) {
    for node in nodes {
        let now = node.clock().now();
        node.state_mut().peers.forget_silent(now);
    }
}

/// Each node tells those that it would tell who is there; only those in `nodes` can be reached.
fn tell(nodes: &[Rc<Gateway>], random: &mut StdRng) {
    for from in nodes {
        let receivers = from.peer_receivers(true, random);
        let message = from.peer_message(true);
        let reached = nodes
            .iter()
            .filter(|node| receivers.contains(&node.settings().identity.peer_address));
        for node in reached {
            node.receive_peer_message(message.clone());
        }
    }
}

async fn tell_for(span: Duration, groups: &[&[Rc<Gateway>]], random: &mut StdRng) {
    for _ in 0..span.div_duration_f64(INTRODUCTION_INTERVAL) as usize {
        for group in groups {
            tell(group, random);
            forget_silent(group);
        }
        sleep(INTRODUCTION_INTERVAL).await;
    }
}

fn knows_any(node: &Gateway, others: &[Rc<Gateway>]) -> bool {
    let state = node.state();
    others
        .iter()
        .any(|other| state.peers.knows(&other.settings().identity))
}

#[parameterized(
    two_nodes = { 1 },
    small_halves = { 3 },
    large_halves = { 12 },
)]
fn nodes_that_were_cut_from_each_other_for_long_find_each_other_again(of_half: usize) {
    run_paused(async move {
        let random = &mut StdRng::seed_from_u64(1);
        let nodes: Vec<_> = (0..2 * of_half).map(node).collect();
        introduce(&nodes);
        let (left, right) = nodes.split_at(of_half);
        tell_for(FORGOTTEN_AFTER, &[left, right], random).await;
        let forgotten = left.iter().all(|node| !knows_any(node, right));
        assert!(forgotten && right.iter().all(|node| !knows_any(node, left)));
        tell_for(FOUND_AFTER, &[&nodes], random).await;
        assert!(left.iter().all(|node| knows_any(node, right)));
        assert!(right.iter().all(|node| knows_any(node, left)));
    });
}

#[test]
fn forgotten_nodes_do_not_count_among_those_that_may_run() {
    run_paused(async {
        let nodes: Vec<_> = (0..6).map(node).collect();
        introduce(&nodes);
        let left = &nodes[..2];
        tell_for(FORGOTTEN_AFTER, &[left], &mut StdRng::seed_from_u64(1)).await;
        assert_eq!(left[0].state().peers.known_count(), 1);
    });
}

/// Nodes that have stopped for good stay forgotten, and each of them would be told every time.
#[test]
fn few_forgotten_nodes_are_told_at_a_time() {
    run_paused(async {
        let random = &mut StdRng::seed_from_u64(1);
        let nodes: Vec<_> = (0..9).map(node).collect();
        introduce(&nodes);
        let left = &nodes[..1];
        tell_for(FORGOTTEN_AFTER, &[left], random).await;
        let mut told = 0;
        for _ in 0..100 {
            told += left[0].peer_receivers(true, random).len();
            sleep(INTRODUCTION_INTERVAL).await;
        }
        assert!((10..=30).contains(&told), "{told} in 100 introductions");
    });
}
