//! Claims on a quiet network: grants, refusals, releases and restarts, one rule each.

mod claim_support;

use std::time::Duration;

use claim_support::Deployment;
use ryerouter_core::Timestamp;
use ryerouter_core::claim::{ClaimOutcome, issued_at, time_ordered_key};
use ryerouter_core::identity::IdempotencyKey;
use yare::parameterized;

const START: Timestamp = Timestamp::from_millis(1_000_000_000);

fn key_of(kind: &str, now: Timestamp) -> IdempotencyKey {
    match kind {
        "time-ordered" => time_ordered_key(now, 0x1234_5678_9abc_def0_1234),
        _ => IdempotencyKey::new("listing-4711"),
    }
}

fn is_granted(outcome: ClaimOutcome) -> bool {
    matches!(outcome, ClaimOutcome::Granted(_))
}

#[parameterized(
    time_ordered = { "time-ordered" },
    plain = { "plain" },
)]
fn second_submission_at_another_node_is_refused(kind: &str) {
    let mut deployment = Deployment::founded(5, START);
    let key = key_of(kind, deployment.now());
    assert!(is_granted(deployment.claim(0, &key)));
    assert_eq!(deployment.claim(3, &key), ClaimOutcome::AlreadyClaimed);
}

#[parameterized(
    time_ordered = { "time-ordered" },
    plain = { "plain" },
)]
fn released_key_is_granted_again(kind: &str) {
    let mut deployment = Deployment::founded(5, START);
    let key = key_of(kind, deployment.now());
    let ClaimOutcome::Granted(grant) = deployment.claim(0, &key) else {
        panic!("the first claim is granted");
    };
    deployment.release(0, grant.claim);
    assert!(is_granted(deployment.claim(1, &key)));
}

#[parameterized(
    time_ordered = { "time-ordered" },
    plain = { "plain" },
)]
fn old_key_is_not_granted_after_all_keepers_restarted(kind: &str) {
    let mut deployment = Deployment::founded(5, START);
    let key = key_of(kind, deployment.now());
    assert!(is_granted(deployment.claim(0, &key)));
    deployment.advance(Duration::from_secs(60));
    deployment.restart_all();
    deployment.advance(Duration::from_secs(60));
    let outcome = deployment.claim(2, &key);
    assert!(
        matches!(outcome, ClaimOutcome::Unavailable { .. }),
        "{outcome:?}"
    );
}

#[test]
fn fresh_time_ordered_key_is_granted_right_after_all_keepers_restarted() {
    let mut deployment = Deployment::founded(5, START);
    deployment.restart_all();
    deployment.advance(Duration::from_secs(3));
    let key = time_ordered_key(deployment.now(), 7);
    assert!(is_granted(deployment.claim(4, &key)));
}

#[test]
fn plain_key_is_granted_a_while_after_all_keepers_restarted() {
    let mut deployment = Deployment::founded(5, START);
    deployment.restart_all();
    let key = IdempotencyKey::new("listing-4711");
    let ClaimOutcome::Unavailable { retry_after } = deployment.claim(1, &key) else {
        panic!("keepers that forgot must not grant");
    };
    deployment.advance(retry_after + Duration::from_secs(1));
    assert!(is_granted(deployment.claim(1, &key)));
}

/// Keepers restart one after the other until none is left that was there at first.
#[parameterized(
    time_ordered = { "time-ordered" },
    plain = { "plain" },
)]
fn keepers_that_restart_one_by_one_forget_nothing_and_serve_on(kind: &str) {
    let mut deployment = Deployment::founded(5, START);
    let old_key = key_of(kind, deployment.now());
    assert!(is_granted(deployment.claim(0, &old_key)));
    for keeper in 0..5 {
        deployment.restart(keeper);
        deployment.let_keepers_copy(Duration::from_secs(10));
        let new_key = IdempotencyKey::new(format!("listing-{keeper}"));
        assert!(is_granted(deployment.claim(1, &new_key)));
        assert_eq!(deployment.claim(2, &new_key), ClaimOutcome::AlreadyClaimed);
    }
    assert_eq!(deployment.claim(3, &old_key), ClaimOutcome::AlreadyClaimed);
}

#[test]
fn expired_time_ordered_key_is_never_granted() {
    let mut deployment = Deployment::founded(5, START);
    let key = time_ordered_key(deployment.now(), 7);
    deployment.advance(Duration::from_secs(25 * 3_600));
    assert_eq!(deployment.claim(0, &key), ClaimOutcome::KeyExpired);
}

#[parameterized(
    none = { 0, true },
    minority = { 2, true },
    majority = { 3, false },
)]
fn grant_needs_a_majority(keepers_down: usize, granted: bool) {
    let mut deployment = Deployment::founded(5, START);
    for keeper in 0..keepers_down {
        deployment.cut(keeper);
    }
    let outcome = deployment.claim(4, &IdempotencyKey::new("alert-1"));
    assert_eq!(is_granted(outcome), granted, "{outcome:?}");
}

#[parameterized(
    time_ordered = { "018f3c5e-7b2a-7cc3-98c4-dc0c0c07398f", true },
    version_4 = { "018f3c5e-7b2a-4cc3-98c4-dc0c0c07398f", false },
    wrong_variant = { "018f3c5e-7b2a-7cc3-18c4-dc0c0c07398f", false },
    no_hyphens = { "018f3c5e7b2a7cc398c4dc0c0c07398f", false },
    sign_in_place_of_digit = { "+18f3c5e-7b2a-7cc3-98c4-dc0c0c07398f", false },
    not_ascii = { "018f3c5e-7b2a-7cc3-98c4-dc0c0c0739é", false },
    plain = { "listing-4711", false },
)]
fn only_version_7_uuids_tell_their_time(text: &str, told: bool) {
    assert_eq!(issued_at(&IdempotencyKey::new(text)).is_some(), told);
}

#[test]
fn router_made_key_tells_its_time() {
    let now = Timestamp::from_millis(1_700_000_000_123);
    let key = time_ordered_key(now, u128::MAX);
    assert_eq!(issued_at(&key), Some(now));
}
