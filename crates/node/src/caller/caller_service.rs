//! Answers one request of a caller.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{ALLOW, CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use ryerouter_core::dispatch::RunState;
use ryerouter_core::identity::RequestId;
use ryerouter_wire::caller_headers;
use slog::info;

use crate::refusal::{caller_error_answer, gate_refusal, refusal_answer};
use crate::service;
use crate::traffic::{ActiveRequest, GateClosed, Worker};

use super::completion_intake::{CompletionIntake, PromptField};
use super::intake::completion_intake;
use super::model_list::model_list;
use super::request_id::{fresh_request_id, request_id};
use super::{AnswerBody, CallerError, CallerOptions, answer_intake, authenticate, read_body};

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");

/// Answers one request of a caller.
pub(crate) struct CallerService {
    worker: Arc<Worker>,
}

impl CallerService {
    pub(crate) fn new(worker: Arc<Worker>) -> Self {
        Self { worker }
    }

    /// Answers the request, whatever becomes of it.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let (id, checked) = match request_id(request.headers()) {
            Ok(id) => (id, Ok(())),
            Err(error) => (fresh_request_id(), Err(error)),
        };
        let run_state = run_state_before_claim(&request);
        let answered = match checked {
            Ok(()) => self.route(request, &id, run_state).await,
            Err(error) => Err(error),
        };
        let mut answer = answered.unwrap_or_else(|error| self.refuse(&error, &id, run_state));
        let id = HeaderValue::from_str(id.as_str());
        if let Ok(id) = id {
            answer.headers_mut().insert(caller_headers::REQUEST_ID, id);
        }
        answer
    }

    async fn route(
        &self,
        request: Request<Incoming>,
        id: &RequestId,
        run_state: RunState,
    ) -> Result<Response<AnswerBody>, CallerError> {
        let path = request.uri().path();
        match path {
            "/healthz" => self.health(request.method()),
            "/readyz" => self.readiness(request.method()),
            "/metrics" => self.metrics(request.method()),
            "/v1/models" => self.models(&request),
            "/v1/chat/completions" => {
                let field = PromptField::Messages;
                self.complete(request, id, field, run_state).await
            }
            "/v1/completions" => {
                let field = PromptField::Prompt;
                self.complete(request, id, field, run_state).await
            }
            _ if path.starts_with(service::PATH_PREFIX) => self.serve(request, id, run_state).await,
            _ => Err(CallerError::UnknownPath {
                path: path.to_owned(),
            }),
        }
    }

    async fn complete(
        &self,
        request: Request<Incoming>,
        id: &RequestId,
        prompt_field: PromptField,
        run_state: RunState,
    ) -> Result<Response<AnswerBody>, CallerError> {
        check_method(request.method(), &Method::POST)?;
        let context = &self.worker.context;
        let arrived_at = context.dispatch.now();
        let view = context.view.load_full();
        let tenant = authenticate(request.headers(), &view)?;
        let active = match context.gate.enter() {
            Ok(active) => active,
            Err(closed) => return Ok(self.refuse_closed(closed, id, run_state)),
        };
        let (parts, body) = request.into_parts();
        let body = read_body(body, context).await?;
        let parsed = CompletionIntake::parse(&body.bytes, prompt_field, &tenant, &view)?;
        let intake = completion_intake(&parts, body, parsed, tenant, id, arrived_at)?;
        Ok(answer_intake(&self.worker, intake, active).await)
    }

    async fn serve(
        &self,
        request: Request<Incoming>,
        id: &RequestId,
        run_state: RunState,
    ) -> Result<Response<AnswerBody>, CallerError> {
        let context = &self.worker.context;
        let arrived_at = context.dispatch.now();
        let view = context.view.load_full();
        let tenant = authenticate(request.headers(), &view)?;
        let route = service::ServiceRoute::parse(request.uri(), &view)?;
        let active: ActiveRequest = match context.gate.enter() {
            Ok(active) => active,
            Err(closed) => return Ok(self.refuse_closed(closed, id, run_state)),
        };
        let (parts, body) = request.into_parts();
        let body = read_body(body, context).await?;
        let intake = service::service_intake(&parts, body, route, tenant, id, arrived_at)?;
        Ok(answer_intake(&self.worker, intake, active).await)
    }

    fn health(&self, method: &Method) -> Result<Response<AnswerBody>, CallerError> {
        check_method(method, &Method::GET)?;
        Ok(answer(StatusCode::OK, TEXT, "ok\n"))
    }

    fn readiness(&self, method: &Method) -> Result<Response<AnswerBody>, CallerError> {
        check_method(method, &Method::GET)?;
        let context = &self.worker.context;
        if context.is_ready() {
            return Ok(answer(StatusCode::OK, TEXT, "ready\n"));
        }
        let reason = if context.gate.is_stopping() {
            "stopping\n"
        } else {
            "no configuration yet\n"
        };
        Ok(answer(StatusCode::SERVICE_UNAVAILABLE, TEXT, reason))
    }

    fn metrics(&self, method: &Method) -> Result<Response<AnswerBody>, CallerError> {
        check_method(method, &Method::GET)?;
        let text = self.worker.context.metrics.encode();
        Ok(answer(StatusCode::OK, TEXT, text))
    }

    fn models(&self, request: &Request<Incoming>) -> Result<Response<AnswerBody>, CallerError> {
        check_method(request.method(), &Method::GET)?;
        let view = self.worker.context.view.load();
        authenticate(request.headers(), &view)?;
        Ok(answer(StatusCode::OK, JSON, model_list(&view)))
    }

    fn refuse(
        &self,
        error: &CallerError,
        id: &RequestId,
        run_state: RunState,
    ) -> Response<AnswerBody> {
        let context = &self.worker.context;
        let status = error.status();
        context.metrics.count_rejected(status);
        info!(context.logger, "request_rejected"; "request" => id.to_string(),
            "status" => status.as_u16(), "code" => error.code(), "cause" => error.to_string());
        let mut answer = caller_error_answer(error, run_state);
        if error.leaves_body_unread() {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        if matches!(error, CallerError::WrongMethod { .. }) {
            let allowed = HeaderValue::from_static("GET, POST");
            answer.headers_mut().insert(ALLOW, allowed);
        }
        answer
    }

    fn refuse_closed(
        &self,
        closed: GateClosed,
        id: &RequestId,
        run_state: RunState,
    ) -> Response<AnswerBody> {
        let context = &self.worker.context;
        let retry_after = context.settings.stop_retry_after;
        let refusal = gate_refusal(closed, run_state, retry_after);
        context.metrics.count_refused_at_gate(&refusal);
        info!(context.logger, "request_refused"; "request" => id.to_string(),
            "reason" => refusal.reason.to_string());
        refusal_answer(&refusal)
    }
}

/// What can be said of the request if it is refused before its key was claimed.
fn run_state_before_claim(request: &Request<Incoming>) -> RunState {
    let to_service = request.uri().path().starts_with(service::PATH_PREFIX);
    let repeatable = !to_service || request.method().is_idempotent();
    CallerOptions::run_state_before_claim(request.headers(), repeatable)
}

fn check_method(method: &Method, allowed: &Method) -> Result<(), CallerError> {
    if method == allowed {
        return Ok(());
    }
    Err(CallerError::WrongMethod {
        method: method.to_string(),
    })
}

fn answer(
    status: StatusCode,
    content_type: HeaderValue,
    body: impl Into<bytes::Bytes>,
) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::whole(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, content_type);
    answer
}
