//! Limits of tenants in front of the dispatcher.

mod dispatch_support;

use std::time::Duration;

use dispatch_support::Fixture;
use ryerouter_core::catalog::{Tenant, TenantLimits};
use ryerouter_core::claim::{ClaimRoster, KeeperGroup};
use ryerouter_core::dispatch::{
    AttemptOutcome, DispatchAction, DispatchEvent, FinalOutcome, Refusal, RefusalReason, RunState,
};
use ryerouter_core::identity::{AttemptId, NodeName, RequestId, ResourceVersion, TenantName};
use ryerouter_core::limit::{LimitCost, LimitEnvelope, LimitGrant, LimitMessage, LimitSettings};

const TENANT: &str = "estate";

fn limited() -> Fixture {
    let mut fixture = Fixture::new(2);
    let tenant = Tenant {
        name: TenantName::new(TENANT),
        api_key_hashes: Vec::new(),
        weight: 1,
        limits: TenantLimits {
            concurrent_streams: Some(1),
            ..TenantLimits::default()
        },
        version: ResourceVersion(1),
    };
    fixture.catalog.tenants.insert(tenant.name.clone(), tenant);
    fixture.catalog.claim_roster = ClaimRoster {
        founded_at: None,
        groups: vec![KeeperGroup {
            epoch: 1,
            keepers: vec![NodeName::new("bank")],
            previous: Vec::new(),
        }],
        version: ResourceVersion(1),
    };
    let settings = LimitSettings::default();
    let node = NodeName::new("node");
    fixture
        .dispatcher
        .limit_tenants(node, fixture.now, settings);
    fixture.publish();
    fixture
}

fn submit(fixture: &mut Fixture, request: &str, tenant: &str) -> Vec<DispatchAction> {
    let profile = fixture.profile(request, tenant, &["catalogue", request]);
    fixture.submit(profile)
}

fn asks(actions: &[DispatchAction]) -> Vec<LimitEnvelope> {
    let sends = actions.iter().filter_map(|action| match action {
        DispatchAction::SendLimit(send) => Some(send.clone()),
        _ => None,
    });
    sends.collect()
}

fn started(actions: &[DispatchAction]) -> Option<AttemptId> {
    actions.iter().find_map(|action| match action {
        DispatchAction::Start { assignment, .. } => Some(assignment.attempt),
        _ => None,
    })
}

fn refusal(actions: &[DispatchAction]) -> Option<Refusal> {
    actions.iter().find_map(|action| match action {
        DispatchAction::Finish {
            outcome: FinalOutcome::Refused(refusal),
            ..
        } => Some(*refusal),
        _ => None,
    })
}

/// Answers an ask with this many streams.
fn grant(fixture: &mut Fixture, send: &LimitEnvelope, streams: u64) -> Vec<DispatchAction> {
    let LimitMessage::Request(ask) = &send.message else {
        panic!("{send:?} is no ask");
    };
    let grant = LimitGrant {
        tenant: ask.tenant.clone(),
        serial: ask.serial,
        granted: LimitCost {
            streams,
            ..LimitCost::default()
        },
    };
    let from = send.to.clone();
    fixture.handle(DispatchEvent::LimitGranted { from, grant })
}

#[test]
fn tenant_without_limits_asks_nothing() {
    let mut fixture = limited();
    let actions = submit(&mut fixture, "first", "other");
    assert!(asks(&actions).is_empty());
    assert!(started(&actions).is_some());
}

#[test]
fn request_waits_for_its_ticket_and_starts_with_it() {
    let mut fixture = limited();
    let actions = submit(&mut fixture, "first", TENANT);
    assert!(started(&actions).is_none());
    let sends = asks(&actions);
    let actions = grant(&mut fixture, &sends[0], 1);
    assert!(started(&actions).is_some());
}

#[test]
fn request_over_the_limit_is_refused_at_once_and_told_when_to_come_back() {
    let mut fixture = limited();
    let sends = asks(&submit(&mut fixture, "first", TENANT));
    let refused = refusal(&grant(&mut fixture, &sends[0], 0)).expect("refused");
    assert_eq!(refused.reason, RefusalReason::TenantLimit);
    assert_eq!(refused.run_state, RunState::NotRun);
    assert!(refused.retry_after.is_some());
}

#[test]
fn bank_that_does_not_answer_means_refusal() {
    let mut fixture = limited();
    submit(&mut fixture, "first", TENANT);
    let actions = fixture.advance(Duration::from_millis(500));
    assert_eq!(
        refusal(&actions).map(|refused| refused.reason),
        Some(RefusalReason::TenantLimit)
    );
}

#[test]
fn stream_that_ended_makes_room_for_the_next() {
    let mut fixture = limited();
    let sends = asks(&submit(&mut fixture, "first", TENANT));
    let attempt = started(&grant(&mut fixture, &sends[0], 1)).expect("started");
    let second = submit(&mut fixture, "second", TENANT);
    assert!(started(&second).is_none());
    let actions = fixture.end(attempt, AttemptOutcome::Completed);
    assert!(refusal(&actions).is_none());
    let actions = fixture.advance(Duration::from_millis(10));
    assert!(started(&actions).is_some());
}

#[test]
fn caller_that_leaves_while_waiting_is_finished() {
    let mut fixture = limited();
    let sends = asks(&submit(&mut fixture, "first", TENANT));
    let request = RequestId::new("first");
    let actions = fixture.handle(DispatchEvent::CallerDisconnected { request });
    assert!(matches!(
        actions[..],
        [DispatchAction::Finish {
            outcome: FinalOutcome::Cancelled,
            ..
        }]
    ));
    assert!(started(&grant(&mut fixture, &sends[0], 1)).is_none());
}
