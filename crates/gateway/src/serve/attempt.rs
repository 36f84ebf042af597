//! Sends a request to one engine once.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_ENCODING;
use hyper::{Request, StatusCode};
use ryerouter_core::Timestamp;
use ryerouter_core::retry::EngineHealth;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::accepted_request::AcceptedRequest;
use super::answer_reporter::AnswerReporter;
use super::attempt_error::AttemptError;
use super::engine_list_state::EngineListState;
use super::live_answer::LiveAnswer;
use super::request_progress::RequestProgress;
use super::sent_request::SentRequest;
use super::silence_cause::SilenceCause;
use crate::engines::{AnswerPhase, Engine, EngineLoad, InFlight};
use crate::gateway::Gateway;
use crate::permits::{Outcome, Permit};
use crate::placement::Placement;
use crate::poison::Run;
use crate::request::{AnswerFacts, AttemptHead};
use crate::upstream::{AttemptFailure, UpstreamAnswer, is_malformed};

/// How long an engine that has other weights than expected is avoided: it is about to load the expected ones.
const MISDIRECTED_BACKOFF: Duration = Duration::from_millis(300);
/// How long a run whose answer was rejected is watched for a crash of its engine, which comes within some tens of
/// milliseconds. A longer time would keep the engine working on a request that has been sent elsewhere.
const CRASH_WATCH_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum time for reading the rest of a refusal. The connection is kept for reuse if the rest arrives in this time.
const REFUSAL_DRAIN_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum size of the rest of an answer that was rejected.
const MAX_REST_BYTES: usize = 64 * 1_024;

/// Sends a request to the engine of `placement` and waits for the head of a usable answer.
pub(super) async fn attempt(
    gateway: &Rc<Gateway>,
    request: &AcceptedRequest,
    placement: &Placement,
    last_event_id: Option<&str>,
    progress: &RequestProgress,
    permit: Option<Permit>,
) -> Result<LiveAnswer, AttemptError> {
    let permit = permit.unwrap_or_else(|| gateway.hold_without_asking(placement));
    let mut sent_request = count_in_flight(gateway, request, placement, permit)
        .ok_or_else(|| AttemptError::NotConnected("engine is gone from the list".to_owned()))?;
    let engine_list = EngineListState::now(gateway, placement);
    engine_list.note(gateway, request, placement);
    progress.engine_list.set(engine_list);
    let sent_at = gateway.clock().now();
    gateway.note_request_sent(&placement.engine);
    note_probe(gateway, placement);
    let message = build_message(gateway, request, placement, last_event_id);
    let mut reporter = AnswerReporter::begin(gateway, request, placement);
    let is_repeatable = request.route.is_idempotent();
    let sent = gateway
        .upstream()
        .send(
            &placement.engine,
            placement.address,
            message,
            is_repeatable,
            &progress.connection_use,
        )
        .await;
    let answer = sent.map_err(|failure| {
        let error = match failure {
            AttemptFailure::NotConnected { detail, is_timeout } => {
                if is_timeout {
                    gateway.note_unreached(placement, sent_at);
                }
                AttemptError::NotConnected(detail)
            }
            AttemptFailure::OutOfReach => AttemptError::OutOfReach,
            AttemptFailure::NoAnswer { detail } => AttemptError::NoAnswer(detail),
            AttemptFailure::Broken {
                detail,
                is_tunnel_lost: true,
                ..
            } => AttemptError::TunnelLost(detail),
            AttemptFailure::Broken { detail, .. } => AttemptError::Broken(detail),
        };
        reporter.end(error.answer_end());
        if !error.may_have_run() {
            sent_request.permit.set_outcome(Outcome::Ended);
        }
        error
    })?;
    let time_to_head = gateway.clock().now().since(sent_at);
    note_head(gateway, request, placement, sent_at, time_to_head);
    let facts = gateway.dialect().read_answer(&answer.head);
    if is_from_intended_engine(request, &answer, &facts) && gateway.is_same_incarnation(placement) {
        gateway.note_signal(&request.caller.id, &placement.engine, &facts, sent_at);
    }
    match check_head(request, &answer, &facts) {
        Ok(()) => {
            note_accepted(gateway, request, placement, &facts);
            if !request.is_stream() {
                sent_request.in_flight.note_begun();
            }
            if !answer.head.status.is_server_error() {
                note_probe_answered(gateway, request, placement, EngineHealth::head_received);
            }
            Ok(LiveAnswer::new(
                answer,
                facts,
                placement.clone(),
                sent_request,
                reporter,
                time_to_head,
            ))
        }
        Err(error) => {
            reporter.end(error.answer_end());
            match &error {
                AttemptError::NoRoom(_) => sent_request.permit.set_outcome(Outcome::Refused),
                error if !error.may_have_run() => sent_request.permit.set_outcome(Outcome::Ended),
                _ => {}
            }
            match error.may_have_run() {
                true => watch_for_crash(gateway, Run::new(request, placement, sent_at), answer),
                false => drain_refusal(gateway, placement, answer, &facts),
            }
            Err(error)
        }
    }
}

/// Counts the request at its engine.
fn count_in_flight(
    gateway: &Gateway,
    request: &AcceptedRequest,
    placement: &Placement,
    permit: Permit,
) -> Option<SentRequest> {
    let expected_prefill = gateway.expected_prefill(placement);
    let prompt = request.caller.prompt.as_ref();
    let load = EngineLoad {
        requests: 1,
        unread_tokens: placement.unread_tokens,
        kv_tokens: prompt.map_or(0, |prompt| prompt.prompt_tokens + prompt.output_tokens),
    };
    let waiting = gateway.wait_at_pool(request, placement);
    let state = gateway.state();
    let engine = state.engines.get(&placement.engine)?;
    Some(SentRequest {
        in_flight: InFlight::new(Rc::clone(&engine.own_load), load).waiting(waiting),
        heard_at: Rc::clone(&engine.heard_at),
        expected_prefill,
        permit,
    })
}

fn build_message(
    gateway: &Gateway,
    request: &AcceptedRequest,
    placement: &Placement,
    last_event_id: Option<&str>,
) -> Request<Full<bytes::Bytes>> {
    let now = gateway.clock().now();
    let head = AttemptHead {
        engine: placement.engine.clone(),
        remaining: request.deadline.since(now),
        tenant: request.tenant.as_ref().map(|tenant| tenant.name.clone()),
        salt: placement.salt.clone(),
        weights: placement.weights,
        fetch_from: placement.fetch.as_ref().map(|fetch| fetch.address),
        save_to: placement.save_to,
        priority: placement.weights.map(|_| gateway.engine_priority(request)),
        last_event_id: last_event_id.map(str::to_owned),
    };
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    *message.headers_mut() = request.headers.clone();
    gateway
        .dialect()
        .write_attempt(&head, message.headers_mut());
    message
}

/// Records that the request probes the engine, if it is due for a probe. Until the outcome is known, other requests go
/// elsewhere.
fn note_probe(gateway: &Gateway, placement: &Placement) {
    let now = gateway.clock().now();
    let mut state = gateway.state_mut();
    let engine = state.engines.get(&placement.engine);
    if engine.is_some_and(|engine| engine.health.is_due_for_probe(now))
        && let Some(engine) = state.engines.get_mut(&placement.engine)
    {
        engine.health.probe_sent(now);
    }
}

/// Records that an engine which has failed requests answers again, with `update`. The rest of its answer may take long.
pub(super) fn note_probe_answered(
    gateway: &Gateway,
    request: &AcceptedRequest,
    placement: &Placement,
    update: fn(&mut EngineHealth),
) {
    let is_same_incarnation = gateway.is_same_incarnation(placement);
    let mut state = gateway.state_mut();
    let engine = state.engines.get(&placement.engine);
    let has_failed = engine.is_some_and(|engine| !engine.health.is_serving());
    if has_failed
        && is_same_incarnation
        && let Some(engine) = state.engines.get_mut(&placement.engine)
    {
        let update = |engine: &mut Engine| update(&mut engine.health);
        gateway.update_health(engine, &"answer", Some(&request.caller.id), update);
    }
}

/// Whether the engine state in the head can be trusted: the answer belongs to this request and comes from the intended
/// engine, not from another process at the same address.
fn is_from_intended_engine(
    request: &AcceptedRequest,
    answer: &UpstreamAnswer,
    facts: &AnswerFacts,
) -> bool {
    let status = answer.head.status;
    let id = facts.request_id.as_ref();
    let is_own = id.map_or(!answer.is_kept, |id| *id == request.caller.id);
    let is_genuine = facts.has_server_stamp || !status.is_success();
    is_own && is_genuine && status != StatusCode::MISDIRECTED_REQUEST
}

/// Checks that the head belongs to a usable answer to this request.
fn check_head(
    request: &AcceptedRequest,
    answer: &UpstreamAnswer,
    facts: &AnswerFacts,
) -> Result<(), AttemptError> {
    let status = answer.head.status;
    let is_foreign = facts
        .request_id
        .as_ref()
        .is_some_and(|id| *id != request.caller.id);
    if is_foreign {
        return Err(AttemptError::MayHaveRun(
            "answer belongs to another request".to_owned(),
        ));
    }
    // Engines repeat the id in each answer. What comes without one on a kept connection may have been sent after the
    // answer before, late.
    if facts.request_id.is_none() && answer.is_kept {
        return Err(AttemptError::MayHaveRun(format!(
            "status {} without an id on a kept connection",
            status.as_u16()
        )));
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err(AttemptError::Misdirected(format!("{:?}", facts.weights)));
    }
    if facts.is_not_executed {
        return Err(AttemptError::NoRoom(status.as_u16()));
    }
    // These statuses state that the request did not run, but only the engine's mark, checked above, guarantees that.
    let claims_not_run = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    if claims_not_run {
        let detail = format!(
            "status {} without the mark that the request has not run",
            status.as_u16()
        );
        return Err(AttemptError::MayHaveRun(detail));
    }
    let is_encoded = answer.head.headers.contains_key(CONTENT_ENCODING);
    let is_unidentified = !facts.has_server_stamp || facts.request_id.is_none();
    if status.is_success() && (is_encoded || is_unidentified) {
        return Err(AttemptError::MayHaveRun(
            "not an engine's answer".to_owned(),
        ));
    }
    Ok(())
}

/// Records the arrival of the head of an answer, whatever its status.
fn note_head(
    gateway: &Gateway,
    request: &AcceptedRequest,
    placement: &Placement,
    sent_at: Timestamp,
    time_to_head: Duration,
) {
    let is_same_incarnation = gateway.is_same_incarnation(placement);
    let mut state = gateway.state_mut();
    let engine = state.engines.get_mut(&placement.engine);
    if let Some(engine) = engine.filter(|_| is_same_incarnation) {
        engine.note_answer_to(sent_at);
        engine.heard_at.set(Some(gateway.clock().now()));
    }
    let route = &request.route.name;
    let times = &mut state.phase_times;
    times.note(&request.pool, route, AnswerPhase::Head, time_to_head);
    drop(state);
    if is_same_incarnation {
        gateway.note_heard(&placement.engine);
    }
}

/// Records that the engine accepted the request, and the weights stated in its answer.
fn note_accepted(
    gateway: &Gateway,
    request: &AcceptedRequest,
    placement: &Placement,
    facts: &AnswerFacts,
) {
    if !gateway.is_same_incarnation(placement) {
        return;
    }
    let mut state = gateway.state_mut();
    if let Some(engine) = state.engines.get_mut(&placement.engine) {
        engine.note_accepted();
    }
    drop(state);
    if let (Some(prompt), Some(weights)) = (&request.caller.prompt, facts.weights) {
        gateway.note_weights(&placement.engine, &prompt.model, weights);
    }
}

/// Reads the short rest of a refusal, so that its connection can be reused.
fn drain_refusal(
    gateway: &Rc<Gateway>,
    placement: &Placement,
    answer: UpstreamAnswer,
    facts: &AnswerFacts,
) {
    let gateway = Rc::clone(gateway);
    let placement = placement.clone();
    let idle_timeout = facts.idle_timeout;
    spawn_local(async move {
        let rest = Limited::new(answer.body, MAX_REST_BYTES).collect();
        let rest = timeout(REFUSAL_DRAIN_TIMEOUT, rest).await;
        if matches!(rest, Ok(Ok(_))) && gateway.is_same_incarnation(&placement) {
            gateway
                .upstream()
                .keep(&placement.engine, answer.connection, idle_timeout);
        }
    });
}

/// Watches briefly whether the engine crashes under a run whose answer was rejected. An unnoticed crash would let the
/// request crash the next engine when it is sent again.
fn watch_for_crash(gateway: &Rc<Gateway>, run: Run, answer: UpstreamAnswer) {
    let gateway = Rc::clone(gateway);
    spawn_local(async move {
        let ends_in_error = timeout(CRASH_WATCH_TIMEOUT, ends_in_error(answer.body));
        if ends_in_error.await == Ok(true) && !answer.connection.is_tunnel_lost() {
            gateway.note_broken_run(&run);
        }
    });
}

/// Reads an answer to its end, and returns whether it broke off. One that goes on for long is left.
async fn ends_in_error(body: Incoming) -> bool {
    let mut body = Limited::new(body, MAX_REST_BYTES);
    loop {
        match body.frame().await {
            Some(Ok(_)) => {}
            Some(Err(error)) => {
                let malformed = error.downcast_ref().is_some_and(is_malformed);
                return !malformed && !error.is::<LengthLimitError>();
            }
            None => return false,
        }
    }
}

/// Updates the engine's health and availability after a failed attempt, and counts the attempt.
pub(super) fn apply_attempt_error(
    gateway: &Gateway,
    request: &AcceptedRequest,
    placement: &Placement,
    error: &AttemptError,
    arrivals: u32,
) {
    let prompt = request.caller.prompt.as_ref();
    let model = prompt.map(|prompt| prompt.model.as_str());
    let expected = model.zip(placement.weights);
    let now = gateway.clock().now();
    // A failure of an earlier incarnation says nothing about an engine that has restarted since.
    let is_same_incarnation = gateway.is_same_incarnation(placement);
    let mut state = gateway.state_mut();
    let engine = state.engines.get_mut(&placement.engine);
    if let Some(engine) = engine.filter(|_| is_same_incarnation) {
        if matches!(error, AttemptError::NoRoom(_)) {
            gateway.log_full_engine(&request.caller.id, engine, arrivals);
        }
        let update = |engine: &mut Engine| match error {
            AttemptError::NotConnected(_) => engine.health.unreachable(now),
            AttemptError::NoRoom(_) => {
                engine.health.answered();
                engine.note_full(now);
            }
            AttemptError::Misdirected(_) => {
                let until = now.after(MISDIRECTED_BACKOFF);
                engine.note_misdirected(expected, until);
            }
            // What showed this has been counted.
            AttemptError::OutOfReach
            | AttemptError::Silent(SilenceCause::Connection | SilenceCause::Doubted)
            | AttemptError::Outdated(_)
            | AttemptError::TunnelLost(_) => {}
            // The abandoned request no longer counts as load of the engine. Without a recorded failure, the engine would
            // look idle and attract more requests.
            AttemptError::Silent(SilenceCause::Engine) => engine.health.failed(now),
            AttemptError::NoAnswer(_) => engine.health.malformed(now),
            AttemptError::EngineError(_)
            | AttemptError::Broken(_)
            | AttemptError::MayHaveRun(_) => {
                engine.health.failed(now);
            }
        };
        gateway.update_health(engine, error, Some(&request.caller.id), update);
    }
    drop(state);
    let attempts = &gateway.metrics().attempts;
    attempts.with_label_values(&[error.label()]).inc();
}
