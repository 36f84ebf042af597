//! Spread of the configuration: few readers, gaps, partitions, restarts with the object API down.

mod support;

use std::time::Duration;

use ryerouter_core::config::{Change, Compactor, Expectation};
use ryerouter_core::lifecycle::NodePhase;
use ryerouter_core::membership::READERS_PER_ZONE;
use support::{VirtualCluster, change, put, tenant};

const RESTART_LIMIT: Duration = Duration::from_secs(1);
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
const HOUR: u64 = 3_600;

fn formed(seed: u64) -> VirtualCluster {
    let mut cluster = VirtualCluster::started(6, 4, seed);
    cluster.run_seconds(10);
    cluster
}

fn nth_change(index: usize) -> Change {
    let name = format!("tenant-{}", index % 40);
    change(
        &format!("change-{index}"),
        vec![put(tenant(&name, 1 + index as u32 % 100), Expectation::Any)],
    )
}

fn make_changes(cluster: &mut VirtualCluster, count: usize, node: usize) {
    let start = cluster.nodes[node].state.config_version().0 as usize;
    for index in start..start + count {
        cluster.apply(node, nth_change(index)).unwrap();
    }
}

#[test]
fn readers_of_the_object_api_are_few() {
    let mut cluster = formed(51);
    make_changes(&mut cluster, 5, 1);
    cluster.run_seconds(60);
    assert!(cluster.store.watches.len() <= 6 * READERS_PER_ZONE);
    assert!(cluster.store.watches.len() >= 6);
}

#[test]
fn a_change_written_by_a_node_that_died_is_found_by_readers() {
    let mut cluster = formed(52);
    cluster.submit(3, nth_change(0));
    cluster.run_until(Duration::from_secs(1), |cluster| {
        cluster.store.log_length() == 1
    });
    cluster.crash(3);
    let spread = cluster.run_until(IN_FORCE_LIMIT, |cluster| cluster.all_at(1));
    assert!(spread.is_some());
}

#[test]
fn watch_gaps_and_compaction_lose_no_change() {
    let mut cluster = formed(53);
    let others: Vec<usize> = (0..24).filter(|node| *node != 3).collect();
    cluster.store.watch_gaps = true;
    cluster.partition(&[3], &others);
    make_changes(&mut cluster, 6, 3);
    cluster.compact_watches();
    make_changes(&mut cluster, 5, 3);
    cluster.run_seconds(15);
    assert!(cluster.all_at(11));
}

#[test]
fn stale_lists_take_no_version_back() {
    let mut cluster = formed(54);
    make_changes(&mut cluster, 10, 1);
    cluster.store.stale_by = 6;
    for node in 0..24 {
        cluster.compact_watches();
        cluster.restart(node);
        cluster.run_seconds(1);
    }
    cluster.run_seconds(15);
    assert!(cluster.all_at(10));
}

#[test]
fn an_object_api_that_bears_few_readers_is_enough() {
    let mut cluster = VirtualCluster::started(6, 4, 55);
    cluster.store.max_watches = Some(2);
    cluster.run_seconds(10);
    make_changes(&mut cluster, 3, 1);
    let spread = cluster.run_until(IN_FORCE_LIMIT, |cluster| cluster.all_at(3));
    assert!(spread.is_some());
    assert!(cluster.store.peak_watches <= 2);
}

#[test]
fn a_restarted_node_serves_in_a_second_with_the_object_api_down() {
    let mut cluster = formed(56);
    make_changes(&mut cluster, 20, 1);
    cluster.run_seconds(5);
    cluster.store.down = true;
    for node in [0, 7, 23] {
        cluster.restart(node);
        let served = cluster.run_until(RESTART_LIMIT, |cluster| {
            cluster.nodes[node].state.phase() == NodePhase::Serving && cluster.version(node) == 20
        });
        assert!(served.is_some());
    }
}

#[test]
fn a_herd_that_restarts_with_the_object_api_down_takes_the_highest_version_left() {
    let mut cluster = formed(57);
    make_changes(&mut cluster, 4, 1);
    cluster.run_seconds(5);
    cluster.store.down = true;
    for node in (0..24).filter(|node| *node != 13) {
        cluster.restart(node);
    }
    let served = cluster.run_until(Duration::from_secs(15), |cluster| {
        cluster.all_serving() && cluster.all_at(4)
    });
    assert!(served.is_some());
}

#[test]
fn a_restarted_node_prefers_the_newest_of_several_peers() {
    let mut cluster = formed(58);
    make_changes(&mut cluster, 2, 1);
    cluster.run_seconds(5);
    let others: Vec<usize> = (1..24).collect();
    cluster.partition(&[0], &others);
    cluster.store_cut.insert(0);
    cluster.store.stop_watch(0);
    make_changes(&mut cluster, 3, 1);
    cluster.store.down = true;
    cluster.run_seconds(5);
    assert_eq!(cluster.version(0), 2);
    cluster.heal();
    cluster.restart(7);
    cluster.run_until(RESTART_LIMIT, |cluster| cluster.version(7) > 0);
    assert_eq!(cluster.version(7), 5);
}

#[test]
fn regions_apart_for_an_hour_agree_afterwards_and_no_version_falls() {
    let mut cluster = formed(59);
    let (left, right): (Vec<usize>, Vec<usize>) = (0..24).partition(|node| node % 6 < 3);
    make_changes(&mut cluster, 2, left[0]);
    cluster.store.max_watches = Some(1);
    cluster.partition(&left, &right);
    cluster.store.down = true;
    cluster.run_seconds(HOUR);
    cluster.store.down = false;
    make_changes(&mut cluster, 3, right[0]);
    cluster.heal();
    let spread = cluster.run_until(Duration::from_secs(20), |cluster| cluster.all_at(5));
    assert!(spread.is_some());
}

#[test]
fn a_node_far_behind_gets_the_whole_configuration() {
    let mut cluster = formed(60);
    cluster.crash(9);
    make_changes(&mut cluster, 600, 1);
    cluster.restart(9);
    let caught_up = cluster.run_until(RESTART_LIMIT, |cluster| cluster.version(9) == 600);
    assert!(caught_up.is_some());
}

#[test]
fn the_snapshot_is_written_and_old_entries_go() {
    let mut cluster = VirtualCluster::started(3, 1, 61);
    cluster.run_seconds(10);
    make_changes(&mut cluster, 300, 1);
    cluster.run_seconds(120);
    assert!(cluster.store.has_snapshot());
    assert_eq!(cluster.store.log_length(), 300);
    cluster.run_seconds(Compactor::KEPT_FOR.as_secs());
    make_changes(&mut cluster, 1_300, 1);
    cluster.run_seconds(300);
    assert!(cluster.store.log_length() < 1_600);
    for node in 0..3 {
        cluster.restart(node);
    }
    cluster.run_seconds(10);
    assert!(cluster.all_at(1_600));
}
