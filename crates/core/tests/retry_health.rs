//! Retry budget and health of engines.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::retry::{EngineHealth, RetryBudget};

const START: Timestamp = Timestamp::from_millis(1_000);

fn eject(health: &mut EngineHealth, now: Timestamp) -> Timestamp {
    health.failed(now);
    health.failed(now);
    health.ejected_until().expect("two failures eject")
}

#[test]
fn one_failure_does_not_eject() {
    let mut health = EngineHealth::default();
    health.failed(START);
    health.answered();
    health.failed(START);
    assert!(health.is_serving());
}

#[test]
fn an_unreachable_engine_is_ejected_at_once() {
    let mut health = EngineHealth::default();
    health.unreachable(START);
    assert!(!health.is_serving());
}

#[test]
fn an_ejected_engine_gets_one_probe_when_its_time_has_come() {
    let mut health = EngineHealth::default();
    let until = eject(&mut health, START);
    assert!(!health.is_due_for_probe(until.before(Duration::from_micros(1))));
    assert!(health.is_due_for_probe(until));
    health.probe_sent(until);
    assert!(!health.is_due_for_probe(until) && !health.is_serving());
    health.answered();
    assert!(health.is_serving());
}

#[test]
fn failed_probes_wait_longer_each_time_up_to_a_bound() {
    let mut health = EngineHealth::default();
    let mut until = eject(&mut health, START);
    let mut waits = Vec::new();
    for _ in 0..12 {
        health.probe_sent(until);
        health.failed(until);
        let next = health.ejected_until().unwrap();
        waits.push(next.since(until));
        until = next;
    }
    assert!(waits.windows(2).all(|pair| pair[0] <= pair[1]));
    assert!(waits[0] < waits[3]);
    assert_eq!(waits[11], Duration::from_secs(10));
}

#[test]
fn a_probe_whose_result_never_comes_is_followed_by_another() {
    let mut health = EngineHealth::default();
    let until = eject(&mut health, START);
    health.probe_sent(until);
    assert!(!health.is_due_for_probe(until.after(Duration::from_millis(1_999))));
    assert!(health.is_due_for_probe(until.after(Duration::from_secs(2))));
    health.probe_sent(until.after(Duration::from_secs(2)));
    assert!(!health.is_due_for_probe(until.after(Duration::from_millis(3_999))));
    // The result of the first may still come, and lengthens the ejection.
    health.unreachable(until.after(Duration::from_secs(3)));
    let next = health.ejected_until().expect("ejected again");
    assert_eq!(next.since(until), Duration::from_millis(3_500));
}

#[test]
fn an_ejection_is_no_longer_than_its_bound() {
    let bound = Duration::from_secs(2);
    let mut health = EngineHealth::with_max_ejection(bound);
    let mut until = eject(&mut health, START);
    for _ in 0..12 {
        health.probe_sent(until);
        health.failed(until);
        let next = health.ejected_until().unwrap();
        assert!(next.since(until) <= bound);
        until = next;
    }
}

#[test]
fn late_failures_do_not_prolong_an_ejection() {
    let mut health = EngineHealth::default();
    let until = eject(&mut health, START);
    for _ in 0..50 {
        health.failed(until);
    }
    assert_eq!(health.ejected_until(), Some(until));
}

#[test]
fn a_restarted_engine_serves_at_once() {
    let mut health = EngineHealth::default();
    eject(&mut health, START);
    health.restarted();
    assert!(health.is_serving());
}

#[test]
fn retries_stay_a_fraction_of_successes() {
    let mut budget = RetryBudget::new(START);
    let initial = std::iter::repeat_with(|| budget.spend(START))
        .take_while(|allowed| *allowed)
        .count();
    for _ in 0..100 {
        budget.earn();
    }
    let earned = std::iter::repeat_with(|| budget.spend(START))
        .take_while(|allowed| *allowed)
        .count();
    assert_eq!(initial, 10);
    assert!((19..=20).contains(&earned), "{earned}");
}

#[test]
fn an_empty_budget_fills_slowly_by_itself() {
    let mut budget = RetryBudget::new(START);
    while budget.spend(START) {}
    let wait = budget.time_to_next_retry();
    assert!(wait > Duration::ZERO);
    assert!(budget.spend(START.after(wait + Duration::from_millis(1))));
    assert!(!budget.spend(START.after(wait + Duration::from_millis(2))));
}

#[test]
fn head_is_no_sign_of_health_after_a_malformed_response() {
    let mut health = EngineHealth::default();
    health.malformed(START);
    health.malformed(START);
    let until = health.ejected_until().expect("two failures eject");
    health.head_received();
    assert!(!health.is_serving());
    health.probe_sent(until);
    health.head_received();
    assert!(!health.is_serving());
    health.malformed(until);
    let second = health.ejected_until().expect("the probe has failed");
    assert!(second.since(until) > until.since(START));
    health.answered();
    assert!(health.is_serving());
}

#[test]
fn head_is_a_sign_of_health_after_other_failures() {
    let mut health = EngineHealth::default();
    let until = eject(&mut health, START);
    health.probe_sent(until);
    health.head_received();
    assert!(health.is_serving());
}
