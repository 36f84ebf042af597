//! One attempt at one engine.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::CONTENT_ENCODING;
use hyper::{Request, StatusCode};
use ryerouter_core::Timestamp;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::accepted_request::AcceptedRequest;
use super::answer_reporter::AnswerReporter;
use super::attempt_end::AttemptEnd;
use super::doubt::Doubt;
use super::held_request::HeldRequest;
use super::list_state::ListState;
use super::live_answer::LiveAnswer;
use crate::engines::{AwaitedPart, EngineLoad, InFlight};
use crate::gateway::Gateway;
use crate::placement::Placement;
use crate::poison::Run;
use crate::request::{AnswerFacts, AttemptHead};
use crate::upstream::{AttemptFailure, UpstreamAnswer};

/// An engine with other weights than expected is avoided for so long: it is about to load.
const AVOID_MISDIRECTED: Duration = Duration::from_millis(300);
/// An engine that ends under a run does so within some tens of milliseconds. Longer would keep one at work on a request
/// that has gone elsewhere.
const WATCHED_FOR: Duration = Duration::from_millis(200);
/// Longest time for the rest of a refusal whose connection is to be kept.
const REFUSAL_REST: Duration = Duration::from_millis(200);

/// Sends a request to the chosen engine and waits for the head of a usable answer.
pub(super) async fn attempt(
    gateway: &Rc<Gateway>,
    request: &AcceptedRequest,
    placement: &Placement,
    last_event_id: Option<&str>,
    held: &HeldRequest,
) -> Result<LiveAnswer, AttemptEnd> {
    let in_flight = count_in_flight(gateway, request, placement)
        .ok_or_else(|| AttemptEnd::NotConnected("engine gone".to_owned()))?;
    let list = ListState::now(gateway, placement);
    list.note(gateway, request, placement);
    held.list.set(list);
    let sent_at = gateway.clock().now();
    gateway.note_request_sent(&placement.engine);
    let message = build_message(gateway, request, placement, last_event_id);
    let mut watched = AnswerReporter::begin(gateway, request, placement);
    let is_repeatable = request.route.is_idempotent();
    let sent = gateway
        .upstream()
        .send(
            &placement.engine,
            placement.address,
            message,
            is_repeatable,
            &held.used,
        )
        .await;
    let answer = sent.map_err(|failure| {
        let end = match failure {
            AttemptFailure::NotConnected { detail } => AttemptEnd::NotConnected(detail),
            AttemptFailure::Broken { detail, .. } => AttemptEnd::Broken(detail),
        };
        watched.end(end.of_answer());
        end
    })?;
    let head_after = gateway.clock().now().since(sent_at);
    note_head(gateway, request, placement, sent_at, head_after);
    let facts = gateway.dialect().read_answer(&answer.head);
    if speaks_of_its_engine(request, &answer, &facts) && gateway.is_same_incarnation(placement) {
        gateway.note_signal(&request.caller.id, &placement.engine, &facts, sent_at);
    }
    match judge_head(request, &answer, &facts) {
        Ok(()) => {
            note_accepted(gateway, request, placement, &facts);
            Ok(LiveAnswer::new(
                answer,
                facts,
                placement.clone(),
                in_flight,
                watched,
                head_after,
            ))
        }
        Err(end) => {
            watched.end(end.of_answer());
            match end.may_have_run() {
                true => watch_run(gateway, Run::new(request, placement, sent_at), answer),
                false => keep_after_refusal(gateway, placement, answer, &facts),
            }
            Err(end)
        }
    }
}

fn count_in_flight(
    gateway: &Gateway,
    request: &AcceptedRequest,
    placement: &Placement,
) -> Option<InFlight> {
    let prompt = request.caller.prompt.as_ref();
    let load = EngineLoad {
        requests: 1,
        unread_tokens: placement.unread_tokens,
        kv_tokens: prompt.map_or(0, |prompt| prompt.prompt_tokens + prompt.output_tokens),
    };
    let state = gateway.state();
    let engine = state.engines.get(&placement.engine)?;
    Some(InFlight::new(Rc::clone(&engine.own_load), load))
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
        priority: placement.weights.map(|_| request.priority()),
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

/// Whether what the head says of its engine is to be believed: the answer is to this request, and by the engine that
/// it was sent to, not by another process at the same address.
fn speaks_of_its_engine(
    request: &AcceptedRequest,
    answer: &UpstreamAnswer,
    facts: &AnswerFacts,
) -> bool {
    let status = answer.head.status;
    let id = facts.request_id.as_ref();
    let is_own = id.is_none_or(|id| *id == request.caller.id);
    let is_genuine = facts.is_signed || !status.is_success();
    is_own && is_genuine && status != StatusCode::MISDIRECTED_REQUEST
}

/// Whether the head is a usable answer to this request.
fn judge_head(
    request: &AcceptedRequest,
    answer: &UpstreamAnswer,
    facts: &AnswerFacts,
) -> Result<(), AttemptEnd> {
    let status = answer.head.status;
    let is_foreign = facts
        .request_id
        .as_ref()
        .is_some_and(|id| *id != request.caller.id);
    if is_foreign {
        return Err(AttemptEnd::MayHaveRun(
            "answer to another request".to_owned(),
        ));
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err(AttemptEnd::Misdirected(format!("{:?}", facts.weights)));
    }
    if facts.is_not_executed {
        return Err(AttemptEnd::NoRoom(status.as_u16()));
    }
    // These promise that nothing ran, which nothing but the engine's mark can promise.
    let is_promise = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    if is_promise {
        let detail = format!("status {} without the mark of not run", status.as_u16());
        return Err(AttemptEnd::MayHaveRun(detail));
    }
    let is_encoded = answer.head.headers.contains_key(CONTENT_ENCODING);
    let is_unsigned = !facts.is_signed || facts.request_id.is_none();
    if status.is_success() && (is_encoded || is_unsigned) {
        return Err(AttemptEnd::MayHaveRun("not an engine's answer".to_owned()));
    }
    Ok(())
}

/// The engine answers, whatever it says.
fn note_head(
    gateway: &Gateway,
    request: &AcceptedRequest,
    placement: &Placement,
    sent_at: Timestamp,
    head_after: Duration,
) {
    let is_in_life = gateway.is_same_incarnation(placement);
    let mut state = gateway.state_mut();
    let engine = state.engines.get_mut(&placement.engine);
    if let Some(engine) = engine.filter(|_| is_in_life) {
        engine.note_answer_to(sent_at);
    }
    let route = &request.route.name;
    let times = &mut state.part_times;
    times.note(&request.pool, route, AwaitedPart::Head, head_after);
}

/// The engine took the request; its answer tells its weights.
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

/// Reads the short rest of a refusal, so that its connection can be kept.
fn keep_after_refusal(
    gateway: &Rc<Gateway>,
    placement: &Placement,
    answer: UpstreamAnswer,
    facts: &AnswerFacts,
) {
    let gateway = Rc::clone(gateway);
    let placement = placement.clone();
    let idle_timeout = facts.idle_timeout;
    spawn_local(async move {
        let rest = timeout(REFUSAL_REST, answer.body.collect()).await;
        if matches!(rest, Ok(Ok(_))) && gateway.is_same_incarnation(&placement) {
            gateway
                .upstream()
                .keep(&placement.engine, answer.connection, idle_timeout);
        }
    });
}

/// Waits for a moment whether the engine ends under a run whose answer was not taken: the request comes again, and
/// would end the next one.
fn watch_run(gateway: &Rc<Gateway>, run: Run, answer: UpstreamAnswer) {
    let gateway = Rc::clone(gateway);
    spawn_local(async move {
        let breaks_off = timeout(WATCHED_FOR, breaks_off(answer.body));
        if breaks_off.await == Ok(true) {
            gateway.note_broken_run(&run);
        }
    });
}

/// Reads an answer to its end; whether it broke off.
async fn breaks_off(mut body: Incoming) -> bool {
    loop {
        match body.frame().await {
            Some(Ok(_)) => {}
            Some(Err(_)) => return true,
            None => return false,
        }
    }
}

/// Takes how an attempt ended into what is believed of the engine.
pub(super) fn learn(
    gateway: &Gateway,
    model: Option<&str>,
    placement: &Placement,
    end: &AttemptEnd,
) {
    let expected = model.zip(placement.weights);
    let now = gateway.clock().now();
    // How its former life ended says nothing of an engine that has begun again.
    let is_in_life = gateway.is_same_incarnation(placement);
    let mut state = gateway.state_mut();
    let engine = state.engines.get_mut(&placement.engine);
    if let Some(engine) = engine.filter(|_| is_in_life) {
        match end {
            AttemptEnd::NotConnected(_) => engine.health.unreachable(now),
            AttemptEnd::NoRoom(_) => {
                engine.health.answered();
                engine.note_full(now);
            }
            AttemptEnd::Misdirected(_) => {
                let until = now.after(AVOID_MISDIRECTED);
                engine.note_misdirected(expected, until);
            }
            AttemptEnd::Silent(Doubt::Connection) => {}
            // Its work is no longer counted there, so it would look idle and attract more.
            AttemptEnd::Silent(Doubt::Engine) => engine.health.failed(now),
            AttemptEnd::EngineError(_) | AttemptEnd::Broken(_) | AttemptEnd::MayHaveRun(_) => {
                engine.health.failed(now);
            }
        }
    }
    drop(state);
    let attempts = &gateway.metrics().attempts;
    attempts.with_label_values(&[end.label()]).inc();
}
