//! Answers to refused requests.

use std::time::Duration;

use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use ryerouter_core::dispatch::{NotRunReason, Refusal, RefusalReason, RunState};
use ryerouter_wire::caller_headers;

use crate::caller::{AnswerBody, CallerError};
use crate::engine::RejectedAnswer;

use super::error_body::{error_body, refusal_body};

const JSON: HeaderValue = HeaderValue::from_static("application/json");
/// Read by OpenAI client libraries: whether they may send the request again by themselves.
const SHOULD_RETRY: &str = "x-should-retry";
/// Read by OpenAI client libraries: `retry-after` in milliseconds.
const RETRY_AFTER_MS: &str = "retry-after-ms";
/// When to come back after a refusal that passes, where the dispatcher does not say.
const USUAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The answer to a refused request: whether it ran, why, and when to come back.
pub(crate) fn refusal_answer(refusal: &Refusal) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::whole(refusal_body(refusal)));
    *answer.status_mut() = status(refusal);
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, JSON);
    let reason = refusal.reason.to_string();
    add_run_state(headers, refusal.run_state, &reason);
    add_retry(headers, refusal);
    if refusal.reason == RefusalReason::Stopping {
        // The caller's next request should go to another process.
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// The answer to a request that its back end refused, in the back end's own words.
pub(crate) fn rejected_answer(rejection: RejectedAnswer) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::whole(rejection.body));
    *answer.status_mut() = rejection.status;
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, rejection.content_type.unwrap_or(JSON));
    let reason = NotRunReason::Rejected.to_string();
    add_run_state(headers, RunState::NotRun, &reason);
    answer
}

/// The answer to a request that was refused before the dispatcher saw it; `run_state` speaks of
/// all its submissions.
pub(crate) fn caller_error_answer(
    error: &CallerError,
    run_state: RunState,
) -> Response<AnswerBody> {
    let status = error.status();
    let kind = error_type(status);
    let body = error_body(&error.to_string(), kind, error.parameter(), error.code());
    let mut answer = Response::new(AnswerBody::whole(body));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, JSON);
    add_run_state(headers, run_state, error.code());
    if status == StatusCode::SERVICE_UNAVAILABLE {
        add_retry_after(headers, USUAL_RETRY_AFTER);
    }
    answer
}

fn status(refusal: &Refusal) -> StatusCode {
    match refusal.reason {
        RefusalReason::NoSuchPool => StatusCode::NOT_FOUND,
        RefusalReason::TenantLimit => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::AlreadyClaimed => StatusCode::CONFLICT,
        RefusalReason::Rejected => StatusCode::BAD_REQUEST,
        RefusalReason::NoBackEnd
        | RefusalReason::QueueFull
        | RefusalReason::AttemptsExhausted
        | RefusalReason::ClaimUnavailable
        | RefusalReason::Stopping => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn error_type(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        status if status.is_server_error() => "server_error",
        _ => "invalid_request_error",
    }
}

fn add_run_state(headers: &mut HeaderMap, run_state: RunState, reason: &str) {
    let run_state = match run_state {
        RunState::NotRun => HeaderValue::from_static("not-run"),
        RunState::Ran => HeaderValue::from_static("ran"),
        RunState::Unknown => HeaderValue::from_static("unknown"),
    };
    headers.insert(caller_headers::RUN_STATE, run_state);
    if let Ok(reason) = HeaderValue::from_str(reason) {
        headers.insert(caller_headers::REFUSAL_REASON, reason);
    }
}

/// Only a request that did not run is invited back, or one whose key keeps it from running twice:
/// for others a retry might run them twice, so client libraries are told not to send them again by
/// themselves.
fn add_retry(headers: &mut HeaderMap, refusal: &Refusal) {
    // Refused before an attempt: "unknown" speaks of earlier submissions of the same key.
    let protected_by_key = matches!(
        refusal.reason,
        RefusalReason::ClaimUnavailable | RefusalReason::Stopping | RefusalReason::QueueFull
    );
    if refusal.run_state != RunState::NotRun && !protected_by_key {
        headers.insert(SHOULD_RETRY, HeaderValue::from_static("false"));
        return;
    }
    let passes = matches!(
        refusal.reason,
        RefusalReason::NoBackEnd
            | RefusalReason::TenantLimit
            | RefusalReason::QueueFull
            | RefusalReason::AttemptsExhausted
            | RefusalReason::ClaimUnavailable
            | RefusalReason::Stopping
    );
    match refusal.retry_after {
        Some(retry_after) => add_retry_after(headers, retry_after),
        None if passes => add_retry_after(headers, USUAL_RETRY_AFTER),
        None => {}
    }
}

fn add_retry_after(headers: &mut HeaderMap, retry_after: Duration) {
    let milliseconds = retry_after.as_millis() as u64;
    let seconds = milliseconds.div_ceil(1_000).max(1);
    headers.insert(RETRY_AFTER, seconds.into());
    headers.insert(RETRY_AFTER_MS, milliseconds.into());
}
