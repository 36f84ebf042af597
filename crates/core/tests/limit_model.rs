//! Tenant limits under loss, duplicates, reordering, partitions, restarts and replaced banks:
//! however they fall, no more is admitted than the limit allows.

mod limit_world;

use std::time::Duration;

use limit_world::{Operation, World};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestCaseError, TestRng, TestRunner};
use ryerouter_core::catalog::TenantLimits;

const NODES: usize = 8;
const BANKS: usize = 5;
const REQUESTS_PER_SECOND: u32 = 20;
const STREAMS: u32 = 12;
/// Burst of a bank, and the time for which a ticket may be kept.
const SLACK: Duration = Duration::from_secs(1 + 2);

fn rate_limit() -> TenantLimits {
    TenantLimits {
        requests_per_second: Some(REQUESTS_PER_SECOND),
        ..TenantLimits::default()
    }
}

fn stream_limit() -> TenantLimits {
    TenantLimits {
        concurrent_streams: Some(STREAMS),
        ..TenantLimits::default()
    }
}

fn quiet_operation() -> impl Strategy<Value = Operation> {
    let node = 0..NODES;
    prop_oneof![
        8 => (node.clone(), 1..20_usize)
            .prop_map(|(node, count)| Operation::Requests { node, count }),
        4 => (node.clone(), 1..9_usize)
            .prop_map(|(node, count)| Operation::EndStreams { node, count }),
        6 => (1..900_u64).prop_map(|millis| Operation::Advance { millis }),
        1 => (900..5_000_u64).prop_map(|millis| Operation::Advance { millis }),
        1 => any::<u16>().prop_map(|pick| Operation::Lose { pick: pick.into() }),
        1 => any::<u16>().prop_map(|pick| Operation::Duplicate { pick: pick.into() }),
        1 => Just(Operation::Reorder),
        1 => node.prop_map(|node| Operation::Isolate { node }),
        2 => Just(Operation::Heal),
    ]
}

fn rough_operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        20 => quiet_operation(),
        1 => (0..NODES).prop_map(|node| Operation::Restart { node }),
        1 => (0..BANKS, 0..=NODES)
            .prop_map(|(bank, heard_by)| Operation::Replace { bank, heard_by }),
        2 => (0..=NODES).prop_map(|heard_by| Operation::Settle { heard_by }),
    ]
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let algorithm = proptest::test_runner::RngAlgorithm::ChaCha;
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(algorithm))
}

#[test]
fn rate_is_never_exceeded() {
    let operations = prop::collection::vec(rough_operation(), 1..150);
    let result = runner(400).run(&operations, |operations| {
        let mut world = World::new(NODES, BANKS, rate_limit());
        for operation in &operations {
            world.apply(operation);
        }
        for window in [
            Duration::ZERO,
            Duration::from_secs(5),
            Duration::from_secs(30),
        ] {
            let limit = (window + SLACK).as_secs() as usize * REQUESTS_PER_SECOND as usize;
            let most = world.most_admitted_within(window);
            if most > limit {
                return Err(TestCaseError::fail(format!("{most} in {window:?}")));
            }
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn streams_at_once_are_never_exceeded() {
    let operations = prop::collection::vec(quiet_operation(), 1..150);
    let result = runner(400).run(&operations, |operations| {
        let mut world = World::new(NODES, BANKS, stream_limit());
        for operation in &operations {
            world.apply(operation);
            if world.running() > u64::from(STREAMS) {
                return Err(TestCaseError::fail(format!("{} streams", world.running())));
            }
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn most_of_the_limit_is_used_when_one_process_has_all_traffic() {
    let mut world = World::new(NODES, BANKS, rate_limit());
    for _ in 0..100 {
        world.apply(&Operation::Requests { node: 7, count: 5 });
        world.advance(100);
    }
    let allowed = 10 * REQUESTS_PER_SECOND as usize;
    assert!(world.admitted() >= allowed * 9 / 10, "{}", world.admitted());
}

#[test]
fn isolated_process_gets_nothing_and_the_others_keep_what_is_theirs() {
    let mut world = World::new(NODES, BANKS, rate_limit());
    world.apply(&Operation::Isolate { node: 7 });
    for _ in 0..50 {
        world.apply(&Operation::Requests { node: 7, count: 1 });
        world.advance(100);
    }
    assert_eq!(world.admitted(), 0);
    for _ in 0..50 {
        world.apply(&Operation::Requests { node: 6, count: 5 });
        world.advance(100);
    }
    let allowed = 5 * REQUESTS_PER_SECOND as usize;
    assert!(world.admitted() >= allowed * 8 / 10, "{}", world.admitted());
}

/// A bank that is cut off and replaced goes on only as long as its successor waits.
#[test]
fn replaced_bank_that_does_not_hear_of_it_stops() {
    let mut world = World::new(NODES, BANKS, rate_limit());
    for step in 0..600 {
        for node in [0, 6, 7] {
            world.apply(&Operation::Requests { node, count: 4 });
        }
        match step {
            100 => world.apply(&Operation::Isolate { node: 0 }),
            110 => world.apply(&Operation::Replace {
                bank: 0,
                heard_by: NODES,
            }),
            120 => world.apply(&Operation::Settle { heard_by: NODES }),
            _ => {}
        }
        world.advance(100);
    }
    let window = Duration::from_secs(30);
    let limit = (window + SLACK).as_secs() as usize * REQUESTS_PER_SECOND as usize;
    let most = world.most_admitted_within(window);
    assert!(most <= limit, "{most} of {limit}");
    let usual = 30 * REQUESTS_PER_SECOND as usize;
    assert!(most >= usual * 9 / 10, "{most} of {usual}");
}

#[test]
fn first_request_of_an_idle_tenant_is_admitted() {
    let mut world = World::new(NODES, BANKS, rate_limit());
    world.apply(&Operation::Requests { node: 6, count: 1 });
    assert_eq!(world.admitted(), 1);
}

#[test]
fn tenant_without_traffic_costs_no_messages() {
    let mut world = World::new(NODES, BANKS, stream_limit());
    world.apply(&Operation::Requests { node: 6, count: 3 });
    world.apply(&Operation::EndStreams { node: 6, count: 3 });
    world.advance(20_000);
    let before = world.messages;
    world.advance(60_000);
    assert_eq!(world.messages, before);
}

#[test]
fn streams_of_a_process_that_died_come_back() {
    let mut world = World::new(NODES, BANKS, stream_limit());
    world.apply(&Operation::Requests { node: 7, count: 12 });
    assert_eq!(world.running(), u64::from(STREAMS));
    world.apply(&Operation::Restart { node: 7 });
    world.apply(&Operation::Requests { node: 6, count: 1 });
    assert_eq!(world.running(), 0);
    world.advance(601_000);
    world.apply(&Operation::Requests { node: 6, count: 12 });
    assert_eq!(world.running(), u64::from(STREAMS));
}
