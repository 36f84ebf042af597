//! A checked request on its way through the dispatcher to its answer.

use std::sync::Arc;
use std::time::Instant;

use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::{
    Assignment, AttemptOutcome, FinalOutcome, Refusal, RefusalReason, Repeatability,
    RequestProfile, RunState,
};
use ryerouter_core::identity::{RequestId, TenantName};
use ryerouter_core::prompt::PrefixChain;
use ryerouter_wire::caller_headers;
use slog::info;

use crate::engine::{PayloadKind, RequestPayload};
use crate::refusal::{refusal_answer, rejected_answer};
use crate::relay::{
    NextAnswer, OpenAnswer, PassThroughBody, RelayBody, RelayFault, RequestExchange, Usage,
    WholeAnswer, read_whole,
};
use crate::service;
use crate::traffic::{
    ActiveRequest, ClaimDecision, ClaimHold, ClaimRequest, RequestSession, Worker,
};

use super::completion_intake::CompletionIntake;
use super::{AnswerBody, CallerError, CallerOptions, HeldBody};

const EVENT_STREAM: HeaderValue = HeaderValue::from_static("text/event-stream; charset=utf-8");

/// A checked request.
pub(crate) struct Intake {
    pub(crate) profile: Box<RequestProfile>,
    pub(crate) payload: RequestPayload,
    pub(crate) needs_claim: bool,
}

/// Puts a checked completion request together.
pub(super) fn completion_intake(
    parts: &Parts,
    body: HeldBody,
    parsed: CompletionIntake,
    tenant: TenantName,
    request: &RequestId,
    arrived_at: Timestamp,
) -> Result<Intake, CallerError> {
    let options = CallerOptions::parse(&parts.headers, arrived_at, true)?;
    let payload = RequestPayload {
        kind: if parsed.stream {
            PayloadKind::CompletionStream
        } else {
            PayloadKind::Completion
        },
        method: parts.method.clone(),
        path: parts.uri.path().to_owned(),
        headers: HeaderMap::new(),
        body,
        request: request.clone(),
        tenant: tenant.clone(),
        priority: options.priority,
        prefix_chain: chain_header(&parsed.prefix),
        needs_fresh_connection: options.runs_at_most_once(),
        dispatch_before: None,
    };
    let profile = RequestProfile {
        request: request.clone(),
        tenant,
        pool: parsed.route.pool,
        prompt_tokens: parsed.prefix.tokens(),
        prefix: parsed.prefix,
        expected_output_tokens: parsed.output_tokens,
        priority: options.priority,
        deadline: options.deadline,
        repeatability: options.repeatability,
        arrived_at,
    };
    Ok(Intake {
        profile: Box::new(profile),
        payload,
        needs_claim: options.needs_claim,
    })
}

fn chain_header(prefix: &PrefixChain) -> Option<HeaderValue> {
    use std::fmt::Write;
    let mut text = String::with_capacity(prefix.blocks.len() * 24);
    for block in &prefix.blocks {
        if !text.is_empty() {
            text.push(',');
        }
        write!(text, "{}:{}", block.hash, block.end_tokens).ok()?;
    }
    HeaderValue::from_str(&text).ok()
}

/// Serves a checked request: claims its key where needed, submits it and answers it.
pub(crate) async fn answer_intake(
    worker: &Arc<Worker>,
    mut intake: Intake,
    active: ActiveRequest,
) -> Response<AnswerBody> {
    let context = &worker.context;
    let claim = match claim_key(worker, &intake).await {
        Ok(claim) => claim,
        Err(refusal) => {
            context.metrics.count_refused_at_gate(&refusal);
            info!(context.logger, "request_refused";
                "request" => intake.profile.request.to_string(),
                "reason" => refusal.reason.to_string());
            return refusal_answer(&refusal);
        }
    };
    intake.payload.dispatch_before = claim.as_ref().map(ClaimHold::dispatch_before);
    let payload = Arc::new(intake.payload);
    let session = RequestSession::submit(context.clone(), intake.profile, claim, active);
    let exchange = RequestExchange::new(worker.clone(), session, payload);
    answer_exchange(exchange).await
}

async fn claim_key(worker: &Arc<Worker>, intake: &Intake) -> Result<Option<ClaimHold>, Refusal> {
    let Repeatability::AtMostOnce(key) = &intake.profile.repeatability else {
        return Ok(None);
    };
    if !intake.needs_claim {
        return Ok(None);
    }
    let request = ClaimRequest {
        tenant: intake.profile.tenant.clone(),
        key: key.clone(),
        request: intake.profile.request.clone(),
        arrived_at: intake.profile.arrived_at,
        deadline: intake.profile.deadline,
    };
    let claims = &worker.context.claims;
    match claims.claim(request.clone()).await {
        ClaimDecision::Granted { dispatch_before } => {
            let hold = ClaimHold::new(claims.clone(), request, dispatch_before);
            Ok(Some(hold))
        }
        ClaimDecision::AlreadyClaimed => Err(Refusal {
            reason: RefusalReason::AlreadyClaimed,
            run_state: RunState::Unknown,
            retry_after: None,
        }),
        ClaimDecision::Unavailable { retry_after } => Err(Refusal {
            reason: RefusalReason::ClaimUnavailable,
            // This submission did not run, but an earlier one with the caller's key may have.
            run_state: RunState::Unknown,
            retry_after: Some(retry_after),
        }),
    }
}

async fn answer_exchange(mut exchange: RequestExchange) -> Response<AnswerBody> {
    loop {
        let open = match exchange.next_answer(Some("")).await {
            NextAnswer::Open(open) => open,
            NextAnswer::Finished { outcome, rejection } => {
                let mut answer = match (outcome, rejection) {
                    (FinalOutcome::Refused(refusal), Some(rejection))
                        if refusal.reason == RefusalReason::Rejected =>
                    {
                        rejected_answer(*rejection)
                    }
                    (FinalOutcome::Refused(refusal), _) => refusal_answer(&refusal),
                    // Without an answer there is nothing to complete with.
                    (FinalOutcome::Completed | FinalOutcome::Cancelled, _) => {
                        refusal_answer(&cancelled())
                    }
                };
                let attempts = exchange.session.attempts_made();
                answer
                    .headers_mut()
                    .insert(caller_headers::ATTEMPTS, attempts.into());
                return answer;
            }
        };
        match exchange.payload.kind {
            PayloadKind::CompletionStream => return stream_answer(exchange, *open),
            PayloadKind::Completion | PayloadKind::Service => {
                match hold_answer(exchange, *open).await {
                    Ok(answer) => return answer,
                    Err(returned) => exchange = *returned,
                }
            }
        }
    }
}

fn cancelled() -> Refusal {
    Refusal {
        reason: RefusalReason::AttemptsExhausted,
        run_state: RunState::Unknown,
        retry_after: None,
    }
}

fn stream_answer(exchange: RequestExchange, open: OpenAnswer) -> Response<AnswerBody> {
    let assignment = open.assignment.clone();
    let body = RelayBody::new(exchange, open);
    let mut answer = Response::new(AnswerBody::Stream(Box::new(body)));
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, EVENT_STREAM);
    let no_cache = HeaderValue::from_static("no-cache");
    headers.insert(hyper::header::CACHE_CONTROL, no_cache);
    add_origin(headers, &assignment);
    answer
}

/// Reads an answer to its end before its head goes to the caller, so that an attempt that breaks
/// off can be made again. Gives the exchange back when it broke off.
async fn hold_answer(
    mut exchange: RequestExchange,
    open: OpenAnswer,
) -> Result<Response<AnswerBody>, Box<RequestExchange>> {
    let OpenAnswer {
        assignment,
        answer,
        guard,
    } = open;
    let is_service = exchange.payload.kind == PayloadKind::Service;
    let mut body = answer.body;
    let settings = &exchange.worker.context.settings;
    let (limit, idle) = (settings.answer_buffer_bytes, settings.engine_idle_timeout);
    let passes_at_once = is_service && service::is_event_stream(&answer.headers);
    let first_token_for = guard.target().attempt;
    let head_arrived_at = Instant::now();
    let read = if passes_at_once {
        Ok(WholeAnswer::Large(bytes::Bytes::new()))
    } else {
        read_whole(&mut body, limit, idle).await
    };
    let headers = service::answer_headers(&exchange.payload, &answer.headers);
    let response_body = match read {
        Ok(WholeAnswer::Whole(bytes)) => {
            exchange.session.first_token(first_token_for);
            let usage = if is_service {
                None
            } else {
                Usage::parse(&bytes)
            };
            let observation = answer.head.observation.map(|mut observation| {
                observation.cached_tokens = usage.map(|usage| usage.cached_tokens());
                observation.prompt_tokens = usage.map(|usage| usage.prompt_tokens);
                observation
            });
            exchange.report_completed(guard, observation);
            AnswerBody::whole(bytes)
        }
        Ok(WholeAnswer::Large(first)) => {
            exchange.session.first_token(first_token_for);
            let first = Some(first).filter(|first| !first.is_empty());
            let body = PassThroughBody::new(exchange, first, body, guard);
            AnswerBody::PassThrough(Box::new(body))
        }
        Err(fault) => {
            if matches!(fault, RelayFault::Silent) {
                let link = &exchange.worker.link;
                link.fell_silent(guard.target().address, head_arrived_at);
            }
            // Nothing reached the caller, and a whole answer has no index to resume at.
            let outcome = AttemptOutcome::Unknown;
            let observation = answer.head.observation;
            exchange.report_broken(guard, outcome, observation, fault.to_string());
            return Err(Box::new(exchange));
        }
    };
    let mut response = Response::new(response_body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = headers;
    add_origin(response.headers_mut(), &assignment);
    Ok(response)
}

/// Tells the caller who answered.
fn add_origin(headers: &mut HeaderMap, assignment: &Assignment) {
    insert_text(
        headers,
        caller_headers::BACK_END,
        assignment.back_end.as_str(),
    );
    let data_centre = assignment.data_centre.as_str();
    insert_text(headers, caller_headers::DATA_CENTRE, data_centre);
    headers.insert(caller_headers::ATTEMPTS, assignment.number.into());
}

fn insert_text(headers: &mut HeaderMap, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
