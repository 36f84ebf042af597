//! Error bodies in the OpenAI API's shape.

use bytes::Bytes;
use ryerouter_core::dispatch::{Refusal, RefusalReason, RunState};
use serde::Serialize;

#[derive(Serialize)]
struct ErrorDocument<'a> {
    error: ErrorDetails<'a>,
}

#[derive(Serialize)]
struct ErrorDetails<'a> {
    message: &'a str,
    r#type: &'static str,
    param: Option<&'static str>,
    code: &'a str,
}

/// An error body.
pub(super) fn error_body(
    message: &str,
    kind: &'static str,
    param: Option<&'static str>,
    code: &str,
) -> Bytes {
    let document = ErrorDocument {
        error: ErrorDetails {
            message,
            r#type: kind,
            param,
            code,
        },
    };
    serde_json::to_vec(&document)
        .expect("texts are always JSON")
        .into()
}

/// The error body of a refusal.
pub(super) fn refusal_body(refusal: &Refusal) -> Bytes {
    let message = message(refusal);
    let code = refusal.reason.to_string();
    error_body(&message, error_type(refusal.reason), None, &code)
}

/// The event that ends a stream which cannot be completed.
pub(crate) fn error_event(refusal: &Refusal) -> Bytes {
    let body = refusal_body(refusal);
    let mut event = Vec::with_capacity(body.len() + 16);
    event.extend_from_slice(b"data: ");
    event.extend_from_slice(&body);
    event.extend_from_slice(b"\n\n");
    event.into()
}

fn error_type(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::TenantLimit => "rate_limit_error",
        RefusalReason::NoSuchPool | RefusalReason::Rejected | RefusalReason::AlreadyClaimed => {
            "invalid_request_error"
        }
        _ => "server_error",
    }
}

fn message(refusal: &Refusal) -> String {
    let reason = match refusal.reason {
        RefusalReason::NoSuchPool => "no pool serves this",
        RefusalReason::NoBackEnd => "no back end can take the request now",
        RefusalReason::TenantLimit => "a limit of the tenant is reached",
        RefusalReason::QueueFull => "the router has too many requests in progress",
        RefusalReason::Deadline => "the deadline cannot be met",
        RefusalReason::AttemptsExhausted => "every allowed attempt failed",
        RefusalReason::AlreadyClaimed => "the idempotency key was used before",
        RefusalReason::ClaimUnavailable => "running at most once cannot be assured now",
        RefusalReason::Stopping => "the router is stopping",
        RefusalReason::Rejected => "the back end refused the request",
    };
    let run_state = match refusal.run_state {
        RunState::NotRun => "the request did not run",
        RunState::Ran => "the request ran, wholly or in part",
        RunState::Unknown => "the request may have run",
    };
    format!("{reason}; {run_state}")
}
