//! Tests of the comparison.

use std::sync::Arc;

use yare::parameterized;

use super::{ComparisonOptions, ComparisonSummary, Policy, compare};
use crate::scenario::{BuiltIn, Scenario};

fn short(built_in: BuiltIn) -> Arc<Scenario> {
    let mut scenario = Scenario::built_in(built_in).expect("it is sound");
    scenario.duration_seconds = 6.0;
    scenario.warm_up_seconds = 1.0;
    scenario.faults.truncate(1);
    if let Some(crate::scenario::FaultSpec::EngineCrash { at_seconds, .. }) =
        scenario.faults.first_mut()
    {
        *at_seconds = 3.0;
    }
    Arc::new(scenario)
}

fn options(seed: u64) -> ComparisonOptions {
    ComparisonOptions {
        seed,
        ..ComparisonOptions::default()
    }
}

#[parameterized(blue_mahoe = { BuiltIn::BlueMahoe }, callaghan = { BuiltIn::Callaghan })]
fn same_seed_gives_the_same_trace(built_in: BuiltIn) {
    let scenario = short(built_in);
    let first = compare(&scenario, &Policy::ALL, &options(4));
    let second = compare(&scenario, &Policy::ALL, &options(4));
    assert_eq!(first, second);
    let other = compare(&scenario, &[Policy::Ours], &options(5));
    assert_ne!(first.reports[0].trace_hash, other.reports[0].trace_hash);
}

#[test]
fn all_policies_meet_the_same_requests_and_end_them() {
    let scenario = short(BuiltIn::Callaghan);
    let comparison = compare(&scenario, &Policy::ALL, &options(1));
    let requests = comparison.reports[0].requests;
    for report in &comparison.reports {
        assert_eq!(report.requests, requests, "{}", report.policy);
        assert_eq!(
            report.completed + report.refused + report.unfinished,
            requests,
            "{}",
            report.policy
        );
    }
    assert!(ComparisonSummary::new(&comparison).is_some());
}

#[test]
fn omniscient_policy_wastes_less_than_taking_turns() {
    let scenario = short(BuiltIn::BlueMahoe);
    let policies = [Policy::Oracle(100), Policy::RoundRobin];
    let comparison = compare(&scenario, &policies, &options(1));
    let [oracle, round_robin] = &comparison.reports[..] else {
        panic!("two policies were asked for");
    };
    assert!(oracle.wasted_tokens < round_robin.wasted_tokens);
    assert!(oracle.hit_rate > round_robin.hit_rate);
}
