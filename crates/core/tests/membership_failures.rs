//! Membership under crashes, pauses, one-way cuts, partitions and herds of restarts.

mod support;

use std::time::Duration;

use ryerouter_core::control::ControlEvent;
use ryerouter_core::lifecycle::NodePhase;
use ryerouter_core::membership::{MemberState, READERS_PER_ZONE};
use support::VirtualCluster;
use yare::parameterized;

const DETECTION_LIMIT: Duration = Duration::from_secs(40);
const HOUR: u64 = 3_600;
const FORMATION_SECONDS: u64 = 15;

fn formed(zones: usize, nodes_per_zone: usize, seed: u64) -> VirtualCluster {
    let mut cluster = VirtualCluster::started(zones, nodes_per_zone, seed);
    cluster.run_seconds(FORMATION_SECONDS);
    assert!(cluster.membership_is_right());
    cluster
}

fn failed_anywhere(cluster: &VirtualCluster, name: &str) -> bool {
    cluster.up().into_iter().any(|node| {
        let members = cluster.nodes[node].state.members();
        members
            .get(&name.into())
            .is_some_and(|member| member.record.state == MemberState::Failed)
    })
}

#[parameterized(
    one = { vec![5] },
    a_seed = { vec![0] },
    a_zone = { vec![1, 7, 13, 19, 25] },
    all_seeds = { vec![0, 1, 2] },
)]
fn crashed_nodes_are_found_by_all(crashed: Vec<usize>) {
    let mut cluster = formed(6, 5, 11);
    cluster.loss = 0.02;
    for node in &crashed {
        cluster.crash(*node);
    }
    let found = cluster.run_until(DETECTION_LIMIT, VirtualCluster::membership_is_right);
    assert!(found.is_some());
}

#[test]
fn a_restarted_node_is_back_at_once_with_a_higher_incarnation() {
    let mut cluster = formed(6, 5, 12);
    cluster.crash(8);
    cluster.run_seconds(20);
    cluster.restart(8);
    let back = cluster.run_until(Duration::from_secs(5), VirtualCluster::membership_is_right);
    assert!(back.is_some());
}

#[test]
fn loss_alone_makes_no_node_fail() {
    let mut cluster = formed(6, 5, 13);
    cluster.loss = 0.05;
    for _ in 0..30 {
        cluster.run_seconds(10);
        assert!(cluster.membership_is_right());
    }
}

#[test]
fn a_short_pause_makes_no_node_fail_and_a_long_one_is_refuted_after_it() {
    let mut cluster = formed(6, 5, 14);
    cluster.pause(9, Duration::from_secs(4));
    cluster.run_seconds(30);
    assert!(!failed_anywhere(&cluster, "node-009"));
    cluster.pause(9, Duration::from_secs(60));
    cluster.run_seconds(40);
    assert!(failed_anywhere(&cluster, "node-009"));
    cluster.run_seconds(20);
    let back = cluster.run_until(Duration::from_secs(20), VirtualCluster::membership_is_right);
    assert!(back.is_some());
}

#[test]
fn a_node_that_was_paused_blames_no_other() {
    let mut cluster = formed(6, 5, 15);
    cluster.pause(9, Duration::from_secs(120));
    cluster.run_seconds(121);
    for other in cluster.up() {
        let name = format!("node-{other:03}");
        let state = cluster.nodes[9]
            .state
            .members()
            .get(&name.as_str().into())
            .map(|member| member.record.state);
        assert_ne!(state, Some(MemberState::Failed));
    }
}

#[test]
fn one_way_cuts_to_most_nodes_make_no_node_fail() {
    let mut cluster = formed(6, 5, 16);
    for other in (0..30).filter(|other| other % 3 != 0 && *other != 4) {
        cluster.cut.insert((4, other));
    }
    for _ in 0..12 {
        cluster.run_seconds(10);
        assert!(!failed_anywhere(&cluster, "node-004"));
    }
}

#[test]
fn a_node_cut_off_for_an_hour_does_not_spread_suspicions_when_it_is_back() {
    let mut cluster = formed(6, 5, 17);
    let others: Vec<usize> = (0..30).filter(|node| *node != 4).collect();
    cluster.partition(&[4], &others);
    cluster.run_seconds(HOUR);
    cluster.heal();
    let back = cluster.run_until(Duration::from_secs(30), VirtualCluster::membership_is_right);
    assert!(back.is_some());
    for other in others {
        assert!(!failed_anywhere(&cluster, &format!("node-{other:03}")));
    }
}

#[test]
fn regions_find_together_after_an_hour_apart() {
    let mut cluster = formed(6, 4, 18);
    let (left, right): (Vec<usize>, Vec<usize>) = (0..24).partition(|node| node % 6 < 3);
    cluster.partition(&left, &right);
    cluster.run_seconds(HOUR);
    assert_eq!(cluster.live_at(left[0]), left.iter().copied().collect());
    assert_eq!(cluster.live_at(right[0]), right.iter().copied().collect());
    cluster.heal();
    let together = cluster.run_until(Duration::from_secs(60), VirtualCluster::membership_is_right);
    assert!(together.is_some());
}

#[test]
fn parts_that_started_apart_find_together_through_the_seeds() {
    let mut cluster = VirtualCluster::started(6, 4, 19);
    let (left, right): (Vec<usize>, Vec<usize>) = (0..24).partition(|node| node % 2 == 0);
    cluster.partition(&left, &right);
    cluster.run_seconds(30);
    cluster.heal();
    let together = cluster.run_until(Duration::from_secs(60), VirtualCluster::membership_is_right);
    assert!(together.is_some());
}

#[test]
fn a_herd_of_restarts_forms_again() {
    let mut cluster = formed(6, 5, 20);
    for node in 0..30 {
        cluster.restart(node);
    }
    let formed = cluster.run_until(Duration::from_secs(10), VirtualCluster::membership_is_right);
    assert!(formed.is_some());
}

#[test]
fn each_zone_has_a_few_readers_and_a_dead_one_is_replaced() {
    let mut cluster = formed(6, 5, 21);
    assert_eq!(readers(&cluster, 2).len(), READERS_PER_ZONE);
    let dead = readers(&cluster, 2)[0];
    cluster.crash(dead);
    cluster.run_seconds(40);
    let now = readers(&cluster, 2);
    assert_eq!(now.len(), READERS_PER_ZONE);
    assert!(!now.contains(&dead));
}

#[test]
fn a_planned_stop_leaves_at_once() {
    let mut cluster = formed(6, 5, 22);
    cluster.give(7, ControlEvent::StopRequested);
    assert_eq!(cluster.nodes[7].state.phase(), NodePhase::Draining);
    cluster.give(7, ControlEvent::TrafficEnded);
    assert_eq!(
        cluster.nodes[7].phases,
        [NodePhase::Serving, NodePhase::Draining, NodePhase::Stopped]
    );
    let gone = cluster.run_until(Duration::from_secs(5), VirtualCluster::membership_is_right);
    assert!(gone.is_some());
}

#[test]
fn gossip_a_node_does_not_grow_with_the_cluster() {
    let small = datagrams_per_node(3);
    let large = datagrams_per_node(24);
    assert!(large <= small * 1.1, "{large} against {small}");
}

fn datagrams_per_node(nodes_per_zone: usize) -> f64 {
    let mut cluster = formed(6, nodes_per_zone, 23);
    let before = cluster.datagrams;
    cluster.run_seconds(60);
    assert!(cluster.longest_datagram <= 1_400);
    (cluster.datagrams - before) as f64 / cluster.nodes.len() as f64
}

fn readers(cluster: &VirtualCluster, zone: usize) -> Vec<usize> {
    cluster
        .up()
        .into_iter()
        .filter(|node| node % 6 == zone && cluster.nodes[*node].reads_machines)
        .collect()
}
