//! Paths to engines: when tunnels are used, through which nodes, and how direct paths come back.

use std::collections::BTreeMap;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, NodeName, ZoneName};
use ryerouter_core::path::{
    ConnectPlan, PROBE_INTERVAL, PathChange, PathTable, PeerDistance, TunnelPeer, TunnelPeers,
};
use yare::parameterized;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const ENGINES: usize = 60;

fn after(millis: u64) -> Timestamp {
    START.after(Duration::from_millis(millis))
}

fn engine(index: usize) -> BackEndName {
    BackEndName::new(format!("e{index:02}"))
}

fn peer(index: usize, distance: PeerDistance) -> TunnelPeer {
    TunnelPeer {
        name: NodeName::new(format!("node-{index}")),
        id: 1_000 + index as u64,
        address: "127.0.0.1:1".parse().expect("address"),
        zone: ZoneName::new(format!("{distance:?}")),
        distance,
        is_cut_off: false,
        weight: 1.0,
    }
}

fn peers(own_id: u64, peers: &[TunnelPeer]) -> TunnelPeers {
    let mut known = TunnelPeers::new(own_id);
    known.set(peers.to_vec(), START);
    known
}

/// How often each node is the first that is asked, by many nodes for many engines.
fn first_asked(all: &[TunnelPeer]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for own_id in 0..50 {
        let known = peers(own_id, all);
        for index in 0..ENGINES {
            let candidates = known.candidates(&engine(index), START);
            *counts.entry(candidates[0].name.to_string()).or_default() += 1;
        }
    }
    counts
}

#[test]
fn sound_paths_are_direct_and_a_late_connection_gets_help() {
    let paths = PathTable::default();
    let ConnectPlan::Direct { tunnel_after } = paths.plan(&engine(0), START) else {
        panic!("a direct plan");
    };
    assert!(
        tunnel_after >= Duration::from_millis(20),
        "{tunnel_after:?}"
    );
    assert!(
        tunnel_after <= Duration::from_millis(200),
        "{tunnel_after:?}"
    );
    assert!(!paths.is_cut_off(START));
}

#[test]
fn node_that_has_lost_all_links_does_not_wait_at_each_engine() {
    let mut paths = PathTable::default();
    paths.note_blocked(&engine(0), START);
    assert_eq!(paths.plan(&engine(0), START), ConnectPlan::Tunnel);
    let both = ConnectPlan::Direct {
        tunnel_after: Duration::ZERO,
    };
    assert_eq!(paths.plan(&engine(1), START), both);
    assert!(paths.is_cut_off(START));
}

/// A node that reaches most engines goes on using them directly.
#[test]
fn one_blocked_path_does_not_make_a_node_cut_off() {
    let mut paths = PathTable::default();
    paths.note_blocked(&engine(0), START);
    paths.note_connected(&engine(1), START);
    paths.note_answered(&engine(2), START);
    assert!(!paths.is_cut_off(START));
    assert_eq!(paths.blocked_count(), 1);
    assert_ne!(paths.plan(&engine(1), START), ConnectPlan::Tunnel);
}

/// No request may be needed for the way back.
#[test]
fn blocked_paths_are_probed_and_come_back_without_requests() {
    let mut paths = PathTable::default();
    for index in 0..3 {
        paths.note_blocked(&engine(index), START);
    }
    assert_eq!(paths.take_probe(START), None);
    let due = START.after(PROBE_INTERVAL);
    let probed: Vec<_> = (0..4).filter_map(|_| paths.take_probe(due)).collect();
    assert_eq!(probed.len(), 3, "{probed:?}");
    paths.note_connected(&probed[0], due);
    assert_eq!(paths.blocked_count(), 3, "no probe has come through");
    paths.note_probed(&probed[0], due);
    assert_eq!(paths.blocked_count(), 0);
    assert!(!paths.is_cut_off(due));
    let last = paths.take_changes().pop();
    let is_restored = matches!(last, Some(PathChange::Restored { blocked: 3, .. }));
    assert!(is_restored, "{last:?}");
}

/// A probe that comes through although requests do not must not break requests twice a second.
#[test]
fn probes_become_rarer_while_paths_relapse() {
    let mut paths = PathTable::default();
    let mut now = START;
    let mut waits = Vec::new();
    for _ in 0..6 {
        let blocked_at = now;
        paths.note_blocked(&engine(0), now);
        while paths.take_probe(now).is_none() {
            now = now.after(Duration::from_millis(50));
        }
        waits.push(now.since(blocked_at));
        paths.note_probed(&engine(0), now);
    }
    assert!(waits[3] >= waits[0] * 4, "{waits:?}");
    assert!(waits[5] <= Duration::from_secs(5), "{waits:?}");
    // A later cut is a new one.
    now = now.after(Duration::from_secs(10));
    paths.note_blocked(&engine(0), now);
    assert!(paths.take_probe(now.after(PROBE_INTERVAL)).is_some());
}

#[test]
fn engine_whose_new_connection_broke_is_tried_through_another_node_for_a_moment() {
    let mut paths = PathTable::default();
    paths.note_broken(&engine(0), START);
    assert_eq!(paths.plan(&engine(0), after(10)), ConnectPlan::Tunnel);
    assert_ne!(paths.plan(&engine(1), after(10)), ConnectPlan::Tunnel);
    assert_ne!(paths.plan(&engine(0), after(2_000)), ConnectPlan::Tunnel);
    assert!(!paths.is_cut_off(after(10)));
}

#[test]
fn paths_to_engines_that_are_gone_are_forgotten() {
    let mut paths = PathTable::default();
    paths.note_blocked(&engine(0), START);
    paths.retain(|_| false);
    assert_eq!(paths.blocked_count(), 0);
    assert_eq!(paths.take_probe(after(10_000)), None);
}

#[test]
fn no_node_bears_the_tunnels_of_all_others() {
    let all: Vec<_> = (0..10)
        .map(|index| peer(index, PeerDistance::Zone))
        .collect();
    let counts = first_asked(&all);
    let even = 50 * ENGINES / all.len();
    for (name, count) in &counts {
        assert!((even / 2..even * 2).contains(count), "{name}: {counts:?}");
    }
}

/// One node is left of the own zone, and six stand in others.
#[test]
fn last_sound_node_of_a_zone_does_not_bear_all_its_tunnels() {
    let mut all = vec![peer(0, PeerDistance::Zone)];
    all.extend((1..7).map(|index| peer(index, PeerDistance::Region)));
    let counts = first_asked(&all);
    let share = counts["node-0"] as f64 / (50 * ENGINES) as f64;
    assert!((0.15..0.6).contains(&share), "{share}");
}

#[test]
fn nodes_of_other_regions_and_nodes_that_are_cut_off_come_last() {
    let mut cut_off = peer(0, PeerDistance::Zone);
    cut_off.is_cut_off = true;
    let all = [
        cut_off,
        peer(1, PeerDistance::Remote),
        peer(2, PeerDistance::Zone),
        peer(3, PeerDistance::Region),
    ];
    for index in 0..ENGINES {
        let candidates = peers(7, &all).candidates(&engine(index), START);
        let names: Vec<_> = candidates.iter().map(|peer| peer.name.as_str()).collect();
        assert_eq!(names[2..], ["node-1", "node-0"], "{names:?}");
    }
}

/// What cuts off a node often cuts off its zone, which others say only later.
#[test]
fn second_node_that_is_asked_stands_in_another_zone() {
    let mut all: Vec<_> = (0..8)
        .map(|index| peer(index, PeerDistance::Zone))
        .collect();
    all.push(peer(8, PeerDistance::Region));
    for index in 0..ENGINES {
        let candidates = peers(7, &all).candidates(&engine(index), START);
        assert_ne!(candidates[0].zone, candidates[1].zone);
        assert_eq!(candidates.len(), 9);
    }
}

#[test]
fn node_that_refused_is_left_out_for_a_while() {
    let all = [peer(0, PeerDistance::Zone), peer(1, PeerDistance::Zone)];
    let mut known = peers(7, &all);
    known.note_refused(&all[0].name, START);
    assert_eq!(known.candidates(&engine(0), after(10)).len(), 1);
    assert_eq!(known.candidates(&engine(0), after(2_000)).len(), 2);
}

/// The milliseconds for which a node comes last after a loss of its tunnels at `at`.
fn avoided_ms(known: &mut TunnelPeers, lost: &TunnelPeer, at: u64) -> u64 {
    // Several are lost together.
    (0..5).for_each(|_| known.note_lost(&lost.name, after(at)));
    let is_last = |ms: u64| {
        let candidates = known.candidates(&engine(0), after(at + ms));
        candidates.last().is_some_and(|peer| peer.name == lost.name)
    };
    (0..).step_by(100).find(|ms| !is_last(*ms)).expect("an end")
}

/// It may be the only one left, so it is still asked.
#[test]
fn node_whose_tunnels_are_lost_is_asked_last_for_ever_longer() {
    let all = [peer(0, PeerDistance::Zone), peer(1, PeerDistance::Zone)];
    let mut known = peers(7, &all);
    let preferred = known.candidates(&engine(0), START)[0].clone();
    assert_eq!(avoided_ms(&mut known, &preferred, 0), 1_000);
    assert_eq!(avoided_ms(&mut known, &preferred, 1_000), 2_000);
    assert_eq!(avoided_ms(&mut known, &preferred, 5_000), 4_000);
    known.note_answered(&preferred.name);
    assert_eq!(avoided_ms(&mut known, &preferred, 20_000), 1_000);
}

/// One lost tunnel says less than that a node reaches no engine itself.
#[test]
fn node_whose_tunnels_are_lost_is_asked_after_those_that_are_cut_off() {
    let mut all: Vec<_> = (0..4)
        .map(|index| peer(index, PeerDistance::Zone))
        .collect();
    for cut_off in &mut all[1..] {
        cut_off.is_cut_off = true;
    }
    let mut known = peers(7, &all);
    known.note_lost(&all[0].name, START);
    assert_eq!(known.candidates(&engine(0), after(10))[0].name, all[0].name);
}

/// Knowledge of a large fleet stays bounded.
#[parameterized(
    small = { 5, 5 },
    fleet = { 984, 32 },
)]
fn few_nodes_of_a_large_fleet_are_kept(nodes: usize, kept: usize) {
    let all: Vec<_> = (0..nodes)
        .map(|index| peer(index, PeerDistance::Zone))
        .collect();
    assert_eq!(peers(7, &all).candidates(&engine(0), START).len(), kept);
}

/// Requests for an engine that nobody reaches must not wait for it one after the other, nor bar it for good.
#[test]
fn engine_out_of_reach_of_all_is_not_waited_for_until_a_probe_reaches_it() {
    let mut paths = PathTable::default();
    paths.note_out_of_reach(&engine(0), START);
    assert_eq!(paths.plan(&engine(0), after(10)), ConnectPlan::OutOfReach);
    assert_ne!(paths.plan(&engine(1), after(10)), ConnectPlan::OutOfReach);
    let due = START.after(PROBE_INTERVAL);
    assert_eq!(paths.take_probe(due), Some(engine(0)));
    paths.note_probed(&engine(0), due);
    assert_ne!(paths.plan(&engine(0), due), ConnectPlan::OutOfReach);
}

#[test]
fn engine_out_of_reach_is_tried_again_without_a_probe() {
    let mut paths = PathTable::default();
    paths.note_out_of_reach(&engine(0), START);
    assert_ne!(
        paths.plan(&engine(0), after(3_000)),
        ConnectPlan::OutOfReach
    );
}
