//! Begun streams: once chunks have reached the caller, they are carried on.

mod dispatch_support;

use std::time::Duration;

use dispatch_support::{Fixture, all_started, refused, started};
use ryerouter_core::dispatch::{
    Assignment, AttemptOutcome, DispatchAction, DispatchParameters, NotRunReason, Priority,
    RefusalReason, RequestProfile, ResumePoint, RunState,
};
use ryerouter_core::identity::RequestId;
use yare::parameterized;

const CHUNKS: u64 = 12;
const UNREACHABLE: AttemptOutcome = AttemptOutcome::NotRun(NotRunReason::ConnectFailed);
const CARRIED_ON: Option<ResumePoint> = Some(ResumePoint::Continue {
    delivered_chunks: CHUNKS,
});

fn begin(fixture: &mut Fixture, priority: Priority, deadline: Option<Duration>) -> Assignment {
    let profile = RequestProfile {
        priority,
        deadline: deadline.map(|deadline| fixture.now.after(deadline)),
        ..fixture.profile("begun", "t", &["style", "lot", "question"])
    };
    let first = started(&fixture.submit(profile));
    fixture.answer(first.attempt, 5);
    first
}

/// Breaks the stream; its engine does not come back.
fn lose_engine(fixture: &mut Fixture, attempt: &Assignment) -> Vec<DispatchAction> {
    let broken = AttemptOutcome::Broken { chunks: CHUNKS };
    let resumed = started(&fixture.end(attempt.attempt, broken));
    fixture.end(resumed.attempt, UNREACHABLE)
}

/// Has every engine ejected, by a request that finds none of them.
fn eject_all(fixture: &mut Fixture) {
    let profile = fixture.profile("ejects", "t", &["other style", "q"]);
    let mut actions = fixture.submit(profile);
    while let [assignment] = &all_started(&actions)[..] {
        actions = fixture.end(assignment.attempt, UNREACHABLE);
    }
}

fn new_request(fixture: &mut Fixture, name: &str) -> Vec<DispatchAction> {
    let profile = fixture.profile(name, "t", &["style", name, "q"]);
    fixture.submit(profile)
}

fn started_requests(actions: &[DispatchAction]) -> Vec<RequestId> {
    let request = |action: &DispatchAction| match action {
        DispatchAction::Start { request, .. } => Some(request.clone()),
        _ => None,
    };
    actions.iter().filter_map(request).collect()
}

#[parameterized(
    interactive = { Priority::Interactive },
    batch = { Priority::Batch },
)]
fn the_deadline_counts_up_to_the_first_token_only(priority: Priority) {
    let mut fixture = Fixture::new(2);
    let first = begin(&mut fixture, priority, Some(Duration::from_secs(1)));
    fixture.advance(Duration::from_secs(2));
    let next = started(&lose_engine(&mut fixture, &first));
    assert_ne!(next.back_end, first.back_end);
    assert_eq!(next.resume, CARRIED_ON);
}

#[test]
fn the_deadline_does_not_end_the_wait_of_a_begun_stream() {
    let mut fixture = Fixture::new(2);
    let deadline = Some(Duration::from_millis(100));
    let first = begin(&mut fixture, Priority::Interactive, deadline);
    eject_all(&mut fixture);
    assert!(lose_engine(&mut fixture, &first).is_empty());
    assert!(fixture.advance(Duration::from_millis(200)).is_empty());
    let next = started(&fixture.advance(Duration::from_millis(200)));
    assert_eq!(next.resume, CARRIED_ON);
}

#[test]
fn a_continuation_finds_place_in_a_full_queue_and_goes_before_new_work() {
    let mut parameters = DispatchParameters::default();
    parameters.queue.capacity = 3;
    let mut fixture = Fixture::with_parameters(2, parameters);
    let first = begin(&mut fixture, Priority::Batch, None);
    eject_all(&mut fixture);
    for name in ["w1", "w2", "w3"] {
        assert!(new_request(&mut fixture, name).is_empty());
    }
    assert!(lose_engine(&mut fixture, &first).is_empty());
    let refusal = refused(&new_request(&mut fixture, "over"));
    assert_eq!(refusal.reason, RefusalReason::QueueFull);
    let actions = fixture.advance(Duration::from_millis(400));
    assert_eq!(started_requests(&actions)[0], RequestId::new("begun"));
}

#[test]
fn a_begun_stream_outlasts_the_longest_wait_in_the_queue() {
    let parameters = DispatchParameters {
        interactive_queue_wait: Duration::from_millis(100),
        ..DispatchParameters::default()
    };
    let mut fixture = Fixture::with_parameters(2, parameters);
    let first = begin(&mut fixture, Priority::Interactive, None);
    eject_all(&mut fixture);
    assert!(lose_engine(&mut fixture, &first).is_empty());
    assert!(fixture.advance(Duration::from_millis(200)).is_empty());
    let next = started(&fixture.advance(Duration::from_millis(200)));
    assert_eq!(next.resume, CARRIED_ON);
}

#[test]
fn a_begun_stream_that_no_engine_can_carry_on_ends_in_the_end() {
    let mut fixture = Fixture::new(1);
    let first = begin(&mut fixture, Priority::Interactive, None);
    let refusal = refused(&lose_engine(&mut fixture, &first));
    assert_eq!(refusal.reason, RefusalReason::AttemptsExhausted);
    assert_eq!(refusal.run_state, RunState::Ran);
    assert_eq!(refusal.retry_after, None);
}
