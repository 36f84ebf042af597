//! Answers callers' requests.

use std::convert::Infallible;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use slog::{info, warn};

use super::accept::accept;
use super::active_request::ActiveRequest;
use super::answer_body::AnswerBody;
use super::live_answer::WholeAnswer;
use super::request_forwarder::{FirstAnswer, RequestForwarder};
use super::request_phase::RequestPhase;
use super::stream_relay::StreamRelay;
use crate::gateway::Gateway;
use crate::request::{CallerRequest, Refusal, RefusalReason};

/// Answers a request. Every path ends in exactly one answer.
pub(super) async fn respond(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let (head, body) = request.into_parts();
    Ok(match gateway.dialect().read_request(&head) {
        Ok(caller) => serve(gateway, caller, head, body).await,
        Err(bad) => {
            let refusal = Refusal::new(RefusalReason::BadRequest, bad.to_string());
            log_refusal(&gateway, "", &refusal, 0);
            refuse(&gateway, None, &refusal)
        }
    })
}

async fn serve(
    gateway: Rc<Gateway>,
    caller: CallerRequest,
    head: Parts,
    body: Incoming,
) -> Response<AnswerBody> {
    let arrived_at = gateway.clock().now();
    let id = caller.id.clone();
    let active = ActiveRequest::begin(&gateway, &id, arrived_at);
    let accepted = match accept(&gateway, caller, head, body, arrived_at).await {
        Ok(accepted) => accepted,
        Err(refusal) => return end_refused(&gateway, &active, &id, &refusal),
    };
    active.progress.note_accepted(&accepted);
    gateway.count_request(&accepted.pool);
    if let Err(refusal) = gateway.admit(&accepted) {
        return end_refused(&gateway, &active, &id, &refusal);
    }
    let deadline = accepted.deadline;
    let mut forwarder =
        RequestForwarder::new(Rc::clone(&gateway), accepted, Rc::clone(&active.progress));
    let first = gateway
        .clock()
        .until(deadline, forwarder.first_answer())
        .await;
    match first.unwrap_or_else(|| Err(forwarder.deadline_refusal())) {
        Ok(FirstAnswer::Whole(whole)) => end_whole(&forwarder, &active, *whole),
        Ok(FirstAnswer::Stream(live)) => StreamRelay::new(forwarder, *live, active).into_response(),
        Err(refusal) => {
            if refusal.is_not_run() {
                gateway.refund(&forwarder.request);
            }
            end_refused(&gateway, &active, &id, &refusal)
        }
    }
}

fn end_whole(
    forwarder: &RequestForwarder,
    active: &ActiveRequest,
    whole: WholeAnswer,
) -> Response<AnswerBody> {
    let gateway = &forwarder.gateway;
    end_answered(active, whole.status);
    let seconds = active.elapsed_ms() as f64 / 1e3;
    gateway.metrics().first_answer_seconds.observe(seconds);
    if let Some(left_out) = gateway.sampler().admit(gateway.clock().now()) {
        let request = &forwarder.request;
        info!(gateway.log(), "request_answered"; "request" => &request.caller.id,
            "route" => &request.route.name, "engine" => %whole.placement.engine,
            "status" => whole.status.as_u16(), "arrivals" => forwarder.arrivals,
            "cost" => %whole.placement.cost, "configuration" => request.configuration_version,
            "list" => %forwarder.progress.engine_list.get(),
            "after_ms" => active.elapsed_ms(), "left_out" => left_out);
    }
    let mut response = Response::new(AnswerBody::whole(whole.bytes));
    *response.status_mut() = whole.status;
    *response.headers_mut() = whole.headers;
    response
}

fn end_answered(active: &ActiveRequest, status: StatusCode) {
    match status.is_server_error() {
        false => active.end("answered"),
        true => {
            active.progress.set_phase(RequestPhase::EngineFailed);
            active.end_unserved("engine_error");
        }
    }
}

fn end_refused(
    gateway: &Gateway,
    active: &ActiveRequest,
    id: &str,
    refusal: &Refusal,
) -> Response<AnswerBody> {
    let reason = refusal.reason.to_string();
    let is_unserved = !refusal.status().is_client_error();
    match is_unserved {
        true => active.end_unserved(&reason),
        // The request is faulty or exceeds a limit, so it was never meant to reach an engine.
        false => active.end(&reason),
    }
    log_refusal(gateway, id, refusal, active.elapsed_ms());
    refuse(gateway, Some(id), refusal)
}

fn log_refusal(gateway: &Gateway, id: &str, refusal: &Refusal, after_ms: u64) {
    let state = gateway.state();
    let age = state.freshness().age(gateway.clock().now());
    warn!(gateway.log(), "request_refused"; "request" => id, "reason" => %refusal.reason,
        "detail" => &refusal.detail, "status" => refusal.status().as_u16(),
        "configuration" => state.table.as_ref().map(|table| table.version()),
        "configuration_age_ms" => age.map(|age| age.as_millis() as u64),
        "after_ms" => after_ms);
}

/// Builds the answer to a request that the gateway refuses.
fn refuse(gateway: &Gateway, id: Option<&str>, refusal: &Refusal) -> Response<AnswerBody> {
    let body = serde_json::json!({
        "error": refusal.reason.to_string(),
        "detail": refusal.detail,
    });
    let mut response = Response::new(AnswerBody::whole(body.to_string()));
    *response.status_mut() = refusal.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = refusal.retry_after {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    gateway.dialect().write_refusal(id, headers);
    response
}
