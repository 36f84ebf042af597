//! Answers the calls of the engine protocol.

use std::sync::Arc;

use bytes::{BufMut, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, StatusCode};
use ryerouter_core::dispatch::NotRunReason;
use ryerouter_core::identity::AttemptId;
use ryerouter_wire::engine_headers;
use serde_json::json;

use super::OrderRequest;
use super::answer_body::{event_stream, wait_for_end};
use super::answer_head::{refusal, set_attempt, set_status, set_weights, unknown_attempt};
use super::attempt_reader::AttemptReader;
use super::chunk_format::whole_answer;
use super::completion_request::CompletionRequest;
use super::engine_core::EngineCore;
use super::request_head::{RequestHead, parse_attempt};
use crate::standins::http::{
    Handler, Reply, body_from_stream, empty, json as json_reply, query_value, text,
};

const CHAT: &str = "/v1/chat/completions";
const COMPLETIONS: &str = "/v1/completions";
const ATTEMPTS: &str = "/v1/attempts/";

/// Answers the calls of the engine protocol.
#[derive(Debug)]
pub struct EngineHandler {
    core: Arc<EngineCore>,
}

impl EngineHandler {
    /// A handler of one engine.
    pub fn new(core: Arc<EngineCore>) -> Self {
        Self { core }
    }

    async fn route(&self, request: Request<Incoming>) -> Option<Reply> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, CHAT) => self.complete(request, true).await,
            (&Method::POST, COMPLETIONS) => self.complete(request, false).await,
            (&Method::GET, "/v1/models") => Some(self.models()),
            (&Method::GET, "/v1/load") => {
                Some(json_reply(StatusCode::OK, &self.core.load_report()))
            }
            (&Method::GET, "/v1/cache/events") => Some(self.cache_events(request.uri().query())),
            (&Method::POST, "/v1/orders") => self.order(request).await,
            (_, path) if path.starts_with(ATTEMPTS) => Some(self.attempt(&request)),
            _ => Some(empty(StatusCode::NOT_FOUND)),
        }
    }

    async fn complete(&self, request: Request<Incoming>, chat: bool) -> Option<Reply> {
        let head = match RequestHead::parse(request.headers()) {
            Ok(head) => head,
            Err(bad) => return Some(refusal(NotRunReason::Rejected, &bad.to_string())),
        };
        let body = request.into_body().collect().await.ok()?.to_bytes();
        let completion = match CompletionRequest::parse(&body, chat) {
            Ok(completion) => completion,
            Err(bad) => return Some(refusal(NotRunReason::Rejected, &bad.to_string())),
        };
        if !self.core.serves(&completion.model) {
            return Some(refusal(NotRunReason::Rejected, "unknown model"));
        }
        let kv_import = self.core.import(&head).await;
        match self.core.submit(&head, completion, kv_import) {
            Ok(reader) => self.answer(reader, head.continue_from.unwrap_or(0)).await,
            Err(reason) => Some(refusal(reason, &reason.to_string())),
        }
    }

    async fn answer(&self, reader: AttemptReader, from: u32) -> Option<Reply> {
        if reader.attempt().request.stream {
            return Some(self.stream(reader, from));
        }
        let attempt = Arc::clone(reader.attempt());
        let cached_tokens = wait_for_end(&attempt).await?;
        let answer = whole_answer(&attempt, cached_tokens);
        let mut reply = json_reply(StatusCode::OK, &answer);
        set_status(&mut reply, &self.core.status());
        set_weights(&mut reply, attempt.weights_version);
        Some(reply)
    }

    fn stream(&self, reader: AttemptReader, from: u32) -> Reply {
        let attempt = Arc::clone(reader.attempt());
        let fault = self.core.draw_fault(from, attempt.request.output_tokens);
        let mut reply = Reply::new(body_from_stream(event_stream(reader, from, fault)));
        let content_type = HeaderValue::from_static("text/event-stream");
        reply.headers_mut().insert(CONTENT_TYPE, content_type);
        set_status(&mut reply, &self.core.status());
        set_weights(&mut reply, attempt.weights_version);
        reply
    }

    fn attempt(&self, request: &Request<Incoming>) -> Reply {
        let rest = request.uri().path().trim_start_matches(ATTEMPTS);
        let (id, stream) = match rest.strip_suffix("/stream") {
            Some(id) => (id, true),
            None => (rest, false),
        };
        let Some(attempt) = parse_attempt(id) else {
            return unknown_attempt();
        };
        match (request.method(), stream) {
            (&Method::GET, true) => self.resume(attempt, request.uri().query()),
            (&Method::DELETE, false) => {
                if self.core.cancel(attempt) {
                    empty(StatusCode::OK)
                } else {
                    unknown_attempt()
                }
            }
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    fn resume(&self, attempt: AttemptId, query: Option<&str>) -> Reply {
        let from = query_value(query, "from").and_then(|from| from.parse().ok());
        let Some(from) = from else {
            return refusal(NotRunReason::Rejected, "from: not a chunk index");
        };
        let reader = self.core.resume(attempt);
        let Some(reader) = reader.filter(|reader| from >= reader.attempt().first_chunk) else {
            return unknown_attempt();
        };
        self.stream(reader, from)
    }

    fn models(&self) -> Reply {
        let models = self.core.models().into_iter();
        let models: Vec<_> = models
            .map(|model| json!({"id": model, "object": "model"}))
            .collect();
        json_reply(StatusCode::OK, &json!({"object": "list", "data": models}))
    }

    fn cache_events(&self, query: Option<&str>) -> Reply {
        let from = query_value(query, "from").and_then(|from| from.parse().ok());
        let mut lines = BytesMut::new().writer();
        for event in self.core.cache_events(from.unwrap_or(0)) {
            serde_json::to_writer(&mut lines, &event).expect("an event is plain data");
            lines.get_mut().put_u8(b'\n');
        }
        text(StatusCode::OK, Bytes::from(lines.into_inner()))
    }

    async fn order(&self, request: Request<Incoming>) -> Option<Reply> {
        let body = request.into_body().collect().await.ok()?.to_bytes();
        let Ok(order) = serde_json::from_slice::<OrderRequest>(&body) else {
            return Some(text(StatusCode::BAD_REQUEST, "body: not an order\n"));
        };
        let (status, number) = match self.core.order(&order) {
            Ok(()) => (StatusCode::OK, order.fencing_number),
            Err(newest) => (StatusCode::CONFLICT, newest),
        };
        Some(json_reply(status, &json!({"fencing_number": number})))
    }
}

impl Handler for EngineHandler {
    async fn handle(&self, request: Request<Incoming>) -> Option<Reply> {
        let attempt = request.headers().get(engine_headers::ATTEMPT_ID);
        let attempt = attempt.and_then(|value| parse_attempt(value.to_str().ok()?));
        let mut reply = self.route(request).await?;
        // An answer to an attempt says already which weights give it.
        if !reply
            .headers()
            .contains_key(engine_headers::WEIGHTS_VERSION)
        {
            set_status(&mut reply, &self.core.status());
        }
        if let Some(attempt) = attempt {
            let echoed = if self.core.faults().wrong_attempt {
                AttemptId(attempt.0 ^ 1)
            } else {
                attempt
            };
            set_attempt(&mut reply, echoed);
        }
        Some(reply)
    }
}
