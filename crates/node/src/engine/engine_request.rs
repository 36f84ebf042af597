//! The HTTP request of an attempt.

use std::net::SocketAddr;

use bytes::{BufMut, Bytes, BytesMut};
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use hyper::http::request::Builder;
use hyper::{Method, Request, http};
use ryerouter_core::dispatch::{Assignment, Priority, ResumePoint};
use ryerouter_core::identity::AttemptId;
use ryerouter_wire::engine_headers;

use super::{PayloadKind, RequestPayload};

/// Which attempt of which back end a request is for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineTarget {
    pub(crate) address: SocketAddr,
    /// The attempt as the dispatcher numbers it.
    pub(crate) attempt: AttemptId,
    /// The attempt under which the engine knows the work: the first of a chain of resumed ones.
    pub(crate) engine_attempt: AttemptId,
}

/// The request that starts an attempt, resumes its stream, or continues it on another engine.
pub(super) fn attempt_request(
    payload: &RequestPayload,
    assignment: &Assignment,
    target: EngineTarget,
    delivered_text: &str,
) -> Result<Request<Full<Bytes>>, http::Error> {
    match assignment.resume {
        None => new_request(payload, assignment, payload.body.bytes.clone(), None),
        Some(ResumePoint::SameEngine { next_chunk, .. }) => {
            resume_request(payload, assignment, target, next_chunk)
        }
        Some(ResumePoint::Continue { delivered_chunks }) => {
            let body = with_continue_tokens(&payload.body.bytes, delivered_text);
            new_request(payload, assignment, body, Some(delivered_chunks))
        }
    }
}

/// The request that cancels an attempt.
pub(super) fn cancel_request(target: EngineTarget) -> Result<Request<Full<Bytes>>, http::Error> {
    let attempt = hex_id(target.engine_attempt);
    Request::builder()
        .method(Method::DELETE)
        .uri(format!("/v1/attempts/{attempt}"))
        .header(HOST, target.address.to_string())
        .header(engine_headers::ATTEMPT_ID, attempt)
        .body(Full::default())
}

/// An attempt id as the protocol writes it.
pub(crate) fn hex_id(attempt: AttemptId) -> String {
    format!("{:032x}", attempt.0)
}

fn new_request(
    payload: &RequestPayload,
    assignment: &Assignment,
    body: Bytes,
    continue_from: Option<u64>,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut builder = Request::builder()
        .method(payload.method.clone())
        .uri(payload.path.as_str());
    builder = common_headers(builder, payload, assignment);
    builder = builder.header(engine_headers::PRIORITY, priority_name(payload.priority));
    if let Some(chain) = &payload.prefix_chain {
        builder = builder.header(engine_headers::PREFIX_CHAIN, chain);
    }
    if let Some(import) = &assignment.kv_import {
        let value = format!("{}/{}/{}", import.store, import.prefix, import.tokens);
        builder = builder.header(engine_headers::KV_IMPORT, value);
    }
    if let Some(export) = &assignment.kv_export {
        let value = format!("{}/{}/{}", export.store, export.prefix, export.tokens);
        builder = builder.header(engine_headers::KV_EXPORT, value);
    }
    if let Some(chunks) = continue_from {
        builder = builder.header(engine_headers::CONTINUE_FROM, chunks);
    }
    if payload.kind != PayloadKind::Service {
        builder = builder.header(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    let mut request = builder.body(Full::new(body))?;
    for (name, value) in &payload.headers {
        if !request.headers().contains_key(name) || is_repeatable(name) {
            request.headers_mut().append(name, value.clone());
        }
    }
    Ok(request)
}

fn is_repeatable(name: &HeaderName) -> bool {
    !matches!(*name, HOST | CONTENT_TYPE) && !name.as_str().starts_with("x-")
}

fn resume_request(
    payload: &RequestPayload,
    assignment: &Assignment,
    target: EngineTarget,
    next_chunk: u64,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let attempt = hex_id(target.engine_attempt);
    let builder = Request::builder()
        .method(Method::GET)
        .uri(format!("/v1/attempts/{attempt}/stream?from={next_chunk}"));
    common_headers(builder, payload, assignment).body(Full::default())
}

fn common_headers(
    mut builder: Builder,
    payload: &RequestPayload,
    assignment: &Assignment,
) -> Builder {
    builder = builder
        .header(HOST, assignment.address.to_string())
        .header(engine_headers::ATTEMPT_ID, hex_id(assignment.attempt))
        .header(engine_headers::REQUEST_ID, payload.request.as_str())
        .header(engine_headers::TENANT, payload.tenant.as_str());
    if let Some(incarnation) = assignment.incarnation {
        builder = builder.header(engine_headers::ENGINE_INCARNATION, incarnation.0);
    }
    if let Some(version) = assignment.weights_version {
        builder = builder.header(engine_headers::WEIGHTS_VERSION, version.0);
    }
    builder
}

fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Interactive => "interactive",
        Priority::Batch => "batch",
    }
}

/// Adds the text already delivered, which is escaped as JSON already, to the body's object.
///
/// The body was checked at intake to be a JSON object with at least the field `model`, so the last
/// brace closes it and a comma is due.
fn with_continue_tokens(body: &Bytes, delivered_text: &str) -> Bytes {
    let end = body.iter().rposition(|byte| *byte == b'}');
    let end = end.unwrap_or(body.len());
    let mut extended = BytesMut::with_capacity(body.len() + delivered_text.len() + 32);
    extended.put_slice(&body[..end]);
    extended.put_slice(b",\"continue_tokens\":\"");
    extended.put_slice(delivered_text.as_bytes());
    extended.put_slice(b"\"}");
    extended.freeze()
}
