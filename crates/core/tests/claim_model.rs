//! Claims under restarts, herds, pauses, replaced keepers, skewed clocks and a network that loses,
//! duplicates and reorders: however they fall, no key runs twice.

mod claim_world;

use std::time::Duration;

use claim_world::{Fault, Operation, World};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestCaseError, TestRunner};

const NODES: usize = 7;
const KEYS: usize = 4;

fn operation() -> impl Strategy<Value = Operation> {
    let node = 0..NODES;
    prop_oneof![
        8 => (node.clone(), 0..KEYS).prop_map(|(node, key)| Operation::Serve { node, key }),
        8 => (node.clone(), 0..KEYS).prop_map(|(node, key)| Operation::Submit { node, key }),
        12 => any::<u16>().prop_map(|pick| Operation::Deliver { pick: pick.into() }),
        10 => Just(Operation::DeliverAll),
        2 => any::<u16>().prop_map(|pick| Operation::Duplicate { pick: pick.into() }),
        2 => any::<u16>().prop_map(|pick| Operation::Lose { pick: pick.into() }),
        8 => node.clone().prop_map(|node| Operation::Dispatch { node }),
        2 => node.clone().prop_map(|node| Operation::GiveUp { node }),
        4 => (1..400_u64).prop_map(|millis| Operation::Advance { millis }),
        2 => (400..9_000_u64).prop_map(|millis| Operation::Advance { millis }),
        3 => node.clone().prop_map(|node| Operation::Restart { node }),
        1 => Just(Operation::RestartAll),
        3 => (0..KEYS).prop_map(|key| Operation::Renew { key }),
        1 => node.clone().prop_map(|node| Operation::Pause { node }),
        3 => node.clone().prop_map(|node| Operation::Resume { node }),
        1 => node.clone().prop_map(|node| Operation::Remove { node }),
        3 => Just(Operation::Plan),
        6 => node.prop_map(|node| Operation::Adopt { node }),
    ]
}

fn run(operations: &[Operation], fault: Option<Fault>) -> Result<usize, TestCaseError> {
    let mut world = World::new(NODES, KEYS, fault);
    for operation in operations {
        world.apply(operation);
        if let Some(violation) = world.violation() {
            return Err(TestCaseError::fail(violation));
        }
    }
    Ok(world.executions())
}

fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

#[test]
fn no_key_runs_twice() {
    let mut runner = TestRunner::new_with_rng(config(1_000), deterministic_rng());
    let operations = prop::collection::vec(operation(), 1..250);
    let result = runner.run(&operations, |operations| run(&operations, None).map(drop));
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn keys_do_run() {
    let mut runner = TestRunner::new_with_rng(config(50), deterministic_rng());
    let operations = prop::collection::vec(operation(), 250..251);
    let executions = std::cell::Cell::new(0);
    let result = runner.run(&operations, |operations| {
        executions.set(executions.get() + run(&operations, None)?);
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
    assert!(executions.get() >= 100, "only {} runs", executions.get());
}

/// Each fault takes one rule away; the model must notice, or it checks nothing.
#[yare::parameterized(
    no_majority = { Fault::NoMajority },
    forgetful_keeper_votes = { Fault::ForgetfulKeeperVotes },
    released_claim_dispatched = { Fault::ReleasedClaimDispatched },
)]
fn taking_a_rule_away_is_noticed(fault: Fault) {
    let mut runner = TestRunner::new_with_rng(config(20_000), deterministic_rng());
    let operations = prop::collection::vec(operation(), 150..250);
    let result = runner.run(&operations, |operations| {
        run(&operations, Some(fault)).map(drop)
    });
    assert!(result.is_err(), "{fault:?} went unnoticed");
}

/// A keeper that looks absent is replaced while it and another keeper still act on the old roster.
#[yare::parameterized(
    joiner_waits = { None, false },
    joiner_votes_at_once = { Some(Fault::JoinerVotesUnsettled), true },
)]
fn replaced_keeper_that_still_votes(fault: Option<Fault>, violated: bool) {
    let (old_client, new_client) = (5, 4);
    let mut world = World::new(NODES, KEYS, fault);
    world.apply(&Operation::Pause { node: 0 });
    world.apply(&Operation::Plan);
    world.apply(&Operation::Advance { millis: 1_100 });
    world.apply(&Operation::Plan);
    for node in [2, 3, 4, 6] {
        world.apply(&Operation::Adopt { node });
    }
    world.apply(&Operation::Advance { millis: 2_500 });
    world.apply(&Operation::Renew { key: 0 });
    world.apply(&Operation::Resume { node: 0 });
    for node in [old_client, new_client] {
        world.apply(&Operation::Submit { node, key: 0 });
        world.apply(&Operation::DeliverAll);
        world.apply(&Operation::Dispatch { node });
    }
    assert_eq!(world.executions(), if violated { 2 } else { 1 });
    assert_eq!(world.violation().is_some(), violated);
}

/// A keeper that copied only one that never heard of the key knows too little to vote.
#[test]
fn restarted_keeper_copies_enough_others_before_it_votes() {
    let mut world = World::new(NODES, KEYS, None);
    let key = KEYS - 1;
    world.apply(&Operation::Submit { node: 5, key });
    world.apply(&Operation::Lose { pick: 2 });
    world.apply(&Operation::DeliverAll);
    world.apply(&Operation::Dispatch { node: 5 });
    world.apply(&Operation::Pause { node: 1 });
    world.apply(&Operation::Restart { node: 0 });
    world.apply(&Operation::Adopt { node: 0 });
    for _ in 0..5 {
        world.apply(&Operation::Advance { millis: 1_500 });
        world.apply(&Operation::DeliverAll);
    }
    world.apply(&Operation::Submit { node: 4, key });
    world.apply(&Operation::DeliverAll);
    world.apply(&Operation::Dispatch { node: 4 });
    assert_eq!(world.executions(), 1);
}

/// An ask that the keeper voted on before it restarted reaches the others after it copied them.
#[test]
fn restarted_keeper_copies_only_after_its_old_votes_lapsed() {
    let mut world = World::new(NODES, KEYS, None);
    let key = KEYS - 1;
    world.apply(&Operation::Submit { node: 5, key });
    world.apply(&Operation::Deliver { pick: 0 });
    world.apply(&Operation::Deliver { pick: 2 });
    world.apply(&Operation::Lose { pick: 1 });
    world.apply(&Operation::Restart { node: 0 });
    world.apply(&Operation::Adopt { node: 0 });
    world.apply(&Operation::Advance { millis: 100 });
    for _ in 0..4 {
        world.apply(&Operation::Deliver { pick: 1 });
    }
    world.apply(&Operation::DeliverAll);
    world.apply(&Operation::Dispatch { node: 5 });
    assert_eq!(world.executions(), 1);
    world.apply(&Operation::Submit { node: 4, key });
    world.apply(&Operation::Lose { pick: 1 });
    world.apply(&Operation::DeliverAll);
    world.apply(&Operation::Dispatch { node: 4 });
    assert_eq!(world.executions(), 1);
}

#[test]
fn paused_process_does_not_dispatch_after_its_grant_lapsed() {
    let mut world = World::new(NODES, KEYS, None);
    world.apply(&Operation::Submit { node: 0, key: 0 });
    world.apply(&Operation::DeliverAll);
    world.apply(&Operation::Pause { node: 0 });
    let wait = World::settings().grant_validity + Duration::from_millis(1);
    let millis = u64::try_from(wait.as_millis()).expect("a short wait");
    world.apply(&Operation::Advance { millis });
    world.apply(&Operation::Resume { node: 0 });
    world.apply(&Operation::Dispatch { node: 0 });
    assert_eq!(world.executions(), 0);
}

fn deterministic_rng() -> proptest::test_runner::TestRng {
    proptest::test_runner::TestRng::deterministic_rng(proptest::test_runner::RngAlgorithm::ChaCha)
}
