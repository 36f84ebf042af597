//! Attempts, retries and the single outcome of a request.

mod dispatch_support;

use std::collections::BTreeSet;

use dispatch_support::{Fixture, at_most_once, finished, observation, refused, started};
use ryerouter_core::catalog::BackEndState;
use ryerouter_core::dispatch::{
    AttemptOutcome, DispatchAction, DispatchEvent, Dispatcher, FinalOutcome, NotRunReason,
    RefusalReason, ResumePoint, RunState,
};
use ryerouter_core::identity::{AttemptId, Incarnation, RequestId};
use yare::parameterized;

#[test]
fn a_completed_attempt_finishes_the_request() {
    let mut fixture = Fixture::new(3);
    let profile = fixture.profile("r", "a", &["style", "lot"]);
    let attempt = started(&fixture.submit(profile)).attempt;
    let actions = fixture.end(attempt, AttemptOutcome::Completed);
    assert_eq!(finished(&actions), FinalOutcome::Completed);
}

#[test]
fn every_process_picks_the_same_back_end() {
    let mut here = Fixture::new(18);
    let mut there = Fixture::new(18);
    there.dispatcher = Dispatcher::new("kingston".into(), "zone-1".into(), 4711);
    there.publish();
    for lot in 0..50 {
        // Long enough for its cache to be worth more than the way to another zone.
        let letters = format!("lot {lot} ").repeat(500);
        let profile = here.profile("r", "a", &["style", &letters, "how old?"]);
        let ours = started(&here.submit(profile.clone()));
        let theirs = started(&there.submit(profile));
        assert_eq!(ours.back_end, theirs.back_end);
        assert_ne!(ours.attempt, theirs.attempt);
        here.end(ours.attempt, AttemptOutcome::Completed);
        there.end(theirs.attempt, AttemptOutcome::Completed);
    }
}

#[test]
fn back_ends_that_drain_or_leave_get_no_new_work() {
    let mut fixture = Fixture::new(3);
    let names: Vec<_> = fixture.catalog.back_ends.keys().take(2).cloned().collect();
    fixture.snapshot.leaving.insert(names[0].clone());
    fixture.catalog.back_ends.get_mut(&names[1]).unwrap().state = BackEndState::Draining;
    fixture.publish();
    for lot in 0..100 {
        let request = format!("r{lot}");
        let profile = fixture.profile(&request, "a", &["style", &request]);
        let assignment = started(&fixture.submit(profile));
        assert!(!names.contains(&assignment.back_end));
        fixture.end(assignment.attempt, AttemptOutcome::Completed);
    }
}

#[parameterized(
    connect_failed = { NotRunReason::ConnectFailed },
    overloaded = { NotRunReason::Overloaded },
    draining = { NotRunReason::Draining },
    weights_mismatch = { NotRunReason::WeightsMismatch },
)]
fn what_did_not_run_is_tried_elsewhere(reason: NotRunReason) {
    let mut fixture = Fixture::new(3);
    let profile = at_most_once(fixture.profile("r", "a", &["style"]));
    let first = started(&fixture.submit(profile));
    let second = started(&fixture.end(first.attempt, AttemptOutcome::NotRun(reason)));
    assert_ne!(first.back_end, second.back_end);
    assert_eq!((first.number, second.number), (1, 2));
}

#[test]
fn a_rejected_request_is_not_tried_elsewhere() {
    let mut fixture = Fixture::new(3);
    let profile = fixture.profile("r", "a", &["style"]);
    let attempt = started(&fixture.submit(profile)).attempt;
    let outcome = AttemptOutcome::NotRun(NotRunReason::Rejected);
    let refusal = refused(&fixture.end(attempt, outcome));
    assert_eq!(refusal.reason, RefusalReason::Rejected);
    assert_eq!(refusal.run_state, RunState::NotRun);
}

#[test]
fn attempts_are_bounded_and_the_refusal_is_true() {
    let mut fixture = Fixture::new(20);
    let profile = fixture.profile("r", "a", &["style"]);
    let mut actions = fixture.submit(profile);
    let mut back_ends = BTreeSet::new();
    while let [DispatchAction::Start { assignment, .. }] = actions.as_slice() {
        assert!(back_ends.insert(assignment.back_end.clone()));
        let outcome = AttemptOutcome::NotRun(NotRunReason::ConnectFailed);
        actions = fixture.end(assignment.attempt, outcome);
    }
    let refusal = refused(&actions);
    assert_eq!(refusal.reason, RefusalReason::AttemptsExhausted);
    assert_eq!(refusal.run_state, RunState::NotRun);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn at_most_once_is_refused_as_unknown_after_a_lost_service_answer() {
    let mut fixture = Fixture::new(3);
    let profile = at_most_once(fixture.service_profile("r"));
    let attempt = started(&fixture.submit(profile)).attempt;
    let refusal = refused(&fixture.end(attempt, AttemptOutcome::Unknown));
    assert_eq!(refusal.run_state, RunState::Unknown);
    assert_eq!(refusal.retry_after, None);
}

#[test]
fn at_most_once_stays_unknown_when_later_attempts_did_not_run() {
    let mut fixture = Fixture::new(3);
    let profile = at_most_once(fixture.profile("r", "a", &["style"]));
    let first = started(&fixture.submit(profile));
    fixture.answer(first.attempt, 5);
    let second = started(&fixture.end(first.attempt, AttemptOutcome::Unknown));
    assert_eq!(second.back_end, first.back_end);
    let resume = ResumePoint::SameEngine {
        attempt: first.attempt,
        next_chunk: 0,
    };
    assert_eq!(second.resume, Some(resume));
    let outcome = AttemptOutcome::NotRun(NotRunReason::ConnectFailed);
    let refusal = refused(&fixture.end(second.attempt, outcome));
    assert_eq!(refusal.run_state, RunState::Unknown);
}

#[test]
fn a_broken_stream_is_read_on_from_the_same_incarnation() {
    let mut fixture = Fixture::new(3);
    let profile = at_most_once(fixture.profile("r", "a", &["style"]));
    let first = started(&fixture.submit(profile));
    fixture.answer(first.attempt, 5);
    let second = started(&fixture.end(first.attempt, AttemptOutcome::Broken { chunks: 12 }));
    let resume = ResumePoint::SameEngine {
        attempt: first.attempt,
        next_chunk: 12,
    };
    assert_eq!(second.resume, Some(resume));
    assert_eq!(second.back_end, first.back_end);
    assert_eq!(second.incarnation, Some(Incarnation(5)));
    let outcome = AttemptOutcome::NotRun(NotRunReason::IncarnationMismatch);
    let actions = fixture.end_with(second.attempt, outcome, observation(6));
    assert_eq!(refused(&actions).run_state, RunState::Ran);
}

#[test]
fn a_repeatable_stream_continues_elsewhere_at_the_same_weights() {
    let mut fixture = Fixture::new(3);
    let profile = fixture.profile("r", "a", &["style"]);
    let first = started(&fixture.submit(profile));
    fixture.answer(first.attempt, 5);
    let second = started(&fixture.end(first.attempt, AttemptOutcome::Broken { chunks: 12 }));
    let outcome = AttemptOutcome::NotRun(NotRunReason::ConnectFailed);
    let third = started(&fixture.end(second.attempt, outcome));
    assert_ne!(third.back_end, first.back_end);
    let resume = ResumePoint::Continue {
        delivered_chunks: 12,
    };
    assert_eq!(third.resume, Some(resume));
    assert_eq!(third.weights_version, first.weights_version);
}

#[test]
fn a_dead_incarnation_is_never_asked_for_again() {
    let mut fixture = Fixture::new(1);
    let profile = fixture.profile("r1", "a", &["style"]);
    let first = started(&fixture.submit(profile));
    fixture.end_with(first.attempt, AttemptOutcome::Completed, observation(5));
    let profile = fixture.profile("r2", "a", &["style"]);
    let second = started(&fixture.submit(profile));
    assert_eq!(second.incarnation, Some(Incarnation(5)));
    let outcome = AttemptOutcome::NotRun(NotRunReason::IncarnationMismatch);
    let third = started(&fixture.end_with(second.attempt, outcome, observation(6)));
    assert_eq!(third.incarnation, Some(Incarnation(6)));
    fixture.handle(DispatchEvent::LoadReported {
        back_end: third.back_end.clone(),
        observation: observation(5),
    });
    fixture.end(third.attempt, AttemptOutcome::Completed);
    let profile = fixture.profile("r3", "a", &["style"]);
    assert_eq!(
        started(&fixture.submit(profile)).incarnation,
        Some(Incarnation(6))
    );
}

#[test]
fn a_caller_who_leaves_cancels_the_attempt() {
    let mut fixture = Fixture::new(3);
    let profile = fixture.profile("r", "a", &["style"]);
    let attempt = started(&fixture.submit(profile)).attempt;
    let request = RequestId::new("r");
    let actions = fixture.handle(DispatchEvent::CallerDisconnected {
        request: request.clone(),
    });
    assert_eq!(
        actions,
        [
            DispatchAction::Cancel { attempt },
            DispatchAction::Finish {
                request,
                outcome: FinalOutcome::Cancelled
            }
        ]
    );
    assert!(fixture.end(attempt, AttemptOutcome::Cancelled).is_empty());
}

#[test]
fn events_of_unknown_attempts_change_nothing() {
    let mut fixture = Fixture::new(3);
    assert!(
        fixture
            .end(AttemptId(99), AttemptOutcome::Completed)
            .is_empty()
    );
}

#[test]
fn an_unknown_pool_is_refused_as_not_run() {
    let mut fixture = Fixture::new(3);
    let mut profile = fixture.profile("r", "a", &["style"]);
    profile.pool = "nowhere".into();
    let refusal = refused(&fixture.submit(profile));
    assert_eq!(refusal.reason, RefusalReason::NoSuchPool);
    assert_eq!(refusal.run_state, RunState::NotRun);
}
