//! Leaving back ends: by their own word, by the machine list, by operators, and coming back.

mod support;

use std::time::Duration;

use ryerouter_core::catalog::BackEndState;
use ryerouter_core::config::{Expectation, Resource};
use ryerouter_core::control::{ControlEvent, MachineEntry, MachineRole, MachineState, OperationId};
use ryerouter_core::identity::Incarnation;
use support::{VirtualCluster, back_end, change, pool, put};
use yare::parameterized;

const LIMIT: Duration = Duration::from_secs(3);
const ENGINES: u16 = 300;

fn formed(seed: u64, loss: f64) -> VirtualCluster {
    let mut cluster = VirtualCluster::started(6, 6, seed);
    cluster.run_seconds(10);
    let engines = (1..=ENGINES).map(engine);
    let mutations = std::iter::once(pool("pool"))
        .chain(engines)
        .map(|resource| put(resource, Expectation::Absent))
        .collect();
    cluster.apply(0, change("create", mutations)).unwrap();
    cluster.run_seconds(5);
    assert!(cluster.all_at(1));
    cluster.loss = loss;
    cluster
}

fn engine(index: u16) -> Resource {
    back_end(&format!("engine-{index}"), "pool", 8_000 + index)
}

fn observed(index: u16, incarnation: u64, draining: bool) -> ControlEvent {
    ControlEvent::BackEndObserved {
        back_end: format!("engine-{index}").as_str().into(),
        incarnation: Incarnation(incarnation),
        draining,
    }
}

fn listed(state: MachineState) -> ControlEvent {
    ControlEvent::MachineListRead(vec![MachineEntry {
        address: ([10, 9, 0, 1], 8_001).into(),
        role: MachineRole::Engine,
        zone: "zone-1".into(),
        state,
    }])
}

#[parameterized(
    no_loss = { 0.0 },
    some_loss = { 0.05 },
    heavy_loss = { 0.2 },
)]
fn one_node_that_sees_it_is_enough(loss: f64) {
    let mut cluster = formed(71, loss);
    cluster.give(20, observed(1, 5, true));
    assert!(
        cluster
            .run_until(LIMIT, |c| c.all_refuse("engine-1"))
            .is_some()
    );
}

#[test]
fn a_restarted_engine_returns_and_an_old_notice_does_not_hold_it_back() {
    let mut cluster = formed(72, 0.02);
    cluster.give(20, observed(1, 5, true));
    cluster.run_seconds(5);
    cluster.give(4, observed(1, 6, false));
    assert!(
        cluster
            .run_until(LIMIT, |c| c.all_take("engine-1"))
            .is_some()
    );
    cluster.give(30, observed(1, 5, true));
    cluster.run_seconds(10);
    assert!(cluster.all_take("engine-1"));
}

#[test]
fn a_process_that_said_it_leaves_does_not_come_back() {
    let mut cluster = formed(73, 0.0);
    cluster.give(20, observed(1, 5, true));
    cluster.run_seconds(3);
    cluster.give(3, observed(1, 5, false));
    cluster.run_seconds(5);
    assert!(cluster.all_refuse("engine-1"));
}

#[test]
fn a_node_that_serves_a_newer_process_corrects_an_old_notice() {
    let mut cluster = formed(74, 0.0);
    cluster.give(3, observed(1, 9, false));
    cluster.give(20, observed(1, 5, true));
    cluster.run_seconds(5);
    assert!(cluster.all_take("engine-1"));
}

#[test]
fn the_machine_list_drains_and_a_lagging_reader_does_not_take_it_back() {
    let mut cluster = formed(75, 0.05);
    cluster.give(1, listed(MachineState::Live));
    cluster.give(2, listed(MachineState::Live));
    cluster.give(1, listed(MachineState::Leaving));
    assert!(
        cluster
            .run_until(LIMIT, |c| c.all_refuse("engine-1"))
            .is_some()
    );
    cluster.give(2, listed(MachineState::Live));
    cluster.run_seconds(5);
    assert!(cluster.all_refuse("engine-1"));
    cluster.give(1, listed(MachineState::Live));
    assert!(
        cluster
            .run_until(LIMIT, |c| c.all_take("engine-1"))
            .is_some()
    );
}

#[test]
fn an_operators_drain_is_in_force_in_time() {
    let mut cluster = formed(76, 0.05);
    let mut drained = engine(1);
    if let Resource::BackEnd(back_end) = &mut drained {
        back_end.state = BackEndState::Draining;
    }
    let drain = change("drain", vec![put(drained, Expectation::Any)]);
    cluster.submit(9, drain);
    assert!(
        cluster
            .run_until(LIMIT, |c| c.all_refuse("engine-1"))
            .is_some()
    );
}

#[test]
fn a_zone_of_engines_that_leaves_at_once_is_told_in_time() {
    let mut cluster = formed(77, 0.02);
    for index in 1..=ENGINES {
        cluster.give(usize::from(index) % 36, observed(index, 5, true));
    }
    let told = cluster.run_until(LIMIT, |cluster| {
        (1..=ENGINES).all(|index| cluster.all_refuse(&format!("engine-{index}")))
    });
    assert!(told.is_some());
    assert!(cluster.longest_datagram <= 1_400);
}

#[test]
fn a_restarted_or_separated_node_learns_of_leaving_back_ends() {
    let mut cluster = formed(78, 0.0);
    let others: Vec<usize> = (0..36).filter(|node| *node != 8).collect();
    cluster.partition(&[8], &others);
    cluster.give(20, observed(1, 5, true));
    cluster.run_seconds(60);
    cluster.heal();
    cluster.restart(14);
    cluster.run_seconds(1);
    assert!(
        cluster.nodes[14]
            .snapshot
            .leaving
            .contains(&"engine-1".into())
    );
    let told = cluster.run_until(Duration::from_secs(90), |c| c.all_refuse("engine-1"));
    assert!(told.is_some());
}

#[test]
fn status_tells_what_is_in_force_on_each_node() {
    let mut cluster = formed(79, 0.0);
    let operation = OperationId(77);
    cluster.give(5, ControlEvent::StatusRequested { operation });
    cluster.run_seconds(2);
    let status = &cluster.statuses[&operation];
    assert_eq!(status.nodes.len(), 36);
    assert!(status.nodes.iter().all(|node| node.config_version.0 == 1));
}
